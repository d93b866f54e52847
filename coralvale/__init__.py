"""An API gateway that holds each customer of a shared back end to the quota of its plan."""

from coralvale.logic import Gateway

__all__ = ["Gateway"]
