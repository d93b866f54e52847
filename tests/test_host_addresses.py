"""A new host at the address of one that has gone."""

from __future__ import annotations

import time

import pytest
from net_helpers import (
    FakeServer,
    chunk,
    host_entry,
    http_response,
    list_message,
    request,
    run,
    running_gateway,
    until,
)

from coralvale import interface as api


def start_of(age: float) -> int:
    """`since_ms` of a host that started `age` seconds ago."""
    return round((time.time() - age) * 1000)


# Guards against work that is sent for a host that has gone and reaches the process now at its address.
@pytest.mark.parametrize("is_full", [False, True])
def test_a_new_host_at_a_listed_address_takes_the_place_of_the_old_one(is_full: bool) -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"served")).start()
        old = host_entry("s-old", host.port)
        async with running_gateway(old, real_module=True) as w:
            watch = await w.registry.watch()
            assert (await w.ask(request("r1"))).body == b"served"
            assert w.node.upstreams.open_count == 1
            new = host_entry("s-new", host.port, since_ms=start_of(0.0))
            listed = [old, new] if is_full else [new]
            watch.reply(chunk(list_message(42, *listed, snapshot=is_full)))
            await until(lambda: "s-new" in w.node.discovery.endpoints)
            assert list(w.node.discovery.endpoints) == list(w.node.gateway.hosts) == ["s-new"]
            await until(lambda: w.node.upstreams.open_count == 0)
        host.stop()

    run(test())


# Guards against late news of a host that has gone, taken for news of the process now at its address.
@pytest.mark.parametrize("status", ["active", "leaving"])
def test_late_news_of_an_older_host_at_the_address_is_not_taken(status: str) -> None:
    async def test() -> None:
        new = host_entry("s-new", 1, since_ms=start_of(1.0))
        async with running_gateway(new, real_module=True) as w:
            watch = await w.registry.watch()
            older = host_entry("s-old", 1, since_ms=start_of(100.0), status=status)
            watch.reply(chunk(list_message(42, older) + list_message(43, host_entry("s-other", 2))))
            await until(lambda: "s-other" in w.node.discovery.endpoints)
            assert list(w.node.discovery.endpoints) == list(w.node.gateway.hosts) == ["s-new", "s-other"]
            assert w.node.gateway.hosts["s-new"].info.state is api.HostState.HEALTHY

    run(test())
