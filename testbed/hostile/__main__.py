"""Runs hostile clients against one gateway on loopback, for a bounded time."""

from __future__ import annotations

import asyncio
import contextlib

import click

from testbed.hostile.clients import HostileClient, Kind

LOOPBACK = "127.0.0.1"


async def press(kind: Kind, port: int, connections: int, seconds: float) -> None:
    """Runs the clients, one connection each, for some seconds."""
    clients = [HostileClient(kind, (LOOPBACK, port), i, kind.value) for i in range(connections)]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(client.run() for client in clients))


@click.command()
@click.option("--kind", type=click.Choice([kind.value for kind in Kind]), required=True)
@click.option("--port", type=click.IntRange(1, 65535), required=True, help="Of the gateway, on 127.0.0.1.")
@click.option("--connections", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(0.1, 600.0), default=4.0, show_default=True)
def main(kind: str, port: int, connections: int, seconds: float) -> None:
    """Sends one kind of hostile traffic to a gateway."""
    asyncio.run(press(Kind(kind), port, connections, seconds))


if __name__ == "__main__":
    main()
