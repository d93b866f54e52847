"""Test and measurement tools for the gateway; the gateway itself never imports them."""
