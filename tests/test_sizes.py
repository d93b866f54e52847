"""A thousand hosts and a thousand gateways: what each of them has to read, keep and choose."""

from __future__ import annotations

import json
import sys
from collections import Counter
from typing import Any

import pytest
from helpers import Bench, full_list, server
from net_helpers import Peer, answer, chunk, entry, line, request, run, settings, until, world

from coralvale import interface as api
from coralvale.logic import FEWEST, MOST, NEAR
from coralvale.net.config import parse_config
from coralvale.net.discovery import Discovery, Watch

SIZE = 1024


def fleet() -> tuple[api.HostInfo, ...]:
    return tuple(server(f"s{i}") for i in range(SIZE))


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("piece", [1460, 1 << 20])
def test_a_list_of_a_thousand_hosts_is_read_whole_and_each_line_of_it_once(
    indent: int | None, piece: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    decoded: list[int] = []

    class Counting(json.JSONDecoder):
        def raw_decode(self, s: str, idx: int = 0) -> tuple[Any, int]:
            decoded.append(len(s))
            return super().raw_decode(s, idx)

    async def test() -> None:
        told: list[int] = []
        discovery = Discovery(("127.0.0.1", 1), (), (), lambda _, servers, __: told.append(len(servers)))
        watch = discovery.watch = Watch(discovery)
        names = [f's-{i:08x} "{{[' for i in range(SIZE)]  # brackets in a string are none
        message = {"index": 42, "snapshot": True, "endpoints": [entry(n, 1 + i) for i, n in enumerate(names)]}
        text = json.dumps(message, indent=indent).encode() + b"\n"
        for start in range(0, len(text), piece):
            watch.on_body(text[start : start + piece])
        assert told == [SIZE] and set(discovery.endpoints) == set(names) and not watch.malformed
        assert sum(decoded) <= 2 * len(text)

    monkeypatch.setattr("coralvale.net.discovery.DECODER", Counting())
    run(test())


def test_a_gateway_of_a_thousand_starts_with_a_thousand_hosts_and_serves_by_the_last_told() -> None:
    async def test() -> None:
        host = await Peer(answer(body=b"served")).start()
        known = [entry(f"s-{i}", 1 + i, status="leaving") for i in range(SIZE)]
        async with world(*known, real=True, n_instances=SIZE, me=SIZE - 1) as w:
            watch = await w.registry.watch()
            assert len(w.node.discovery.endpoints) == SIZE
            watch.reply(chunk(line(42, entry("s-last", host.port))))
            await until(lambda: "s-last" in w.node.discovery.endpoints)
            quota = f"units=1,spread={SIZE},first={SIZE - 1}"
            assert (await w.ask(request(Quota_Info=quota))).body == b"served"
            assert len(w.node.upstreams.pools) == 1  # nothing is opened ahead
        host.stop()

    run(test())


@pytest.mark.parametrize("gateways", [SIZE, 230, 3])
def test_a_thousand_hosts_are_shared_out_evenly_and_a_choice_looks_at_few(gateways: int) -> None:
    kept, servers = Counter[str](), fleet()
    for index in range(gateways):
        bench = Bench(servers, gateways=gateways, index=index)
        bench.gateway._sort(bench.now)
        assert len(bench.gateway.near) == min(SIZE, max(NEAR, 4 * SIZE // gateways))
        kept.update(host.info.id for host in bench.gateway.near)
    assert set(kept) == {s.id for s in servers} and max(kept.values()) - min(kept.values()) <= 2

    looked_at = 0

    def slowness(now: float) -> float:
        nonlocal looked_at
        looked_at += 1
        return 1.0

    for host in bench.gateway.near:
        host.slowness = slowness  # type: ignore[method-assign]
    name, actions = bench.request()
    assert any(isinstance(a, api.Send) for a in actions)
    assert FEWEST <= looked_at <= MOST


def test_what_a_gateway_keeps_of_a_host_is_small_and_goes_with_it() -> None:
    bench = Bench(fleet(), gateways=SIZE)
    for round_ in range(3):  # all are replaced each time
        bench.feed(full_list(*(server(f"{round_}-{i}") for i in range(SIZE))))
        bench.request()
        assert len(bench.gateway.hosts) == SIZE
    (host, *_) = bench.gateway.hosts.values()
    assert sum(sys.getsizeof(v) for v in [host, vars(host), *vars(host).values()]) < 2048


def test_settings_of_a_thousand_gateways_are_taken() -> None:
    data = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": [entry(f"s-{i}", 1) for i in range(SIZE)]},
        "settings": settings(n_instances=SIZE, me=SIZE - 1),
    }
    config = parse_config(json.loads(json.dumps(data)))
    assert config.settings.gateways == SIZE and config.settings.index == SIZE - 1
    assert len(config.known["endpoints"]) == SIZE
