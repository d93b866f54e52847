"""A thousand hosts and gateways: reading the host list, memory per host, the choice of a host."""

from __future__ import annotations

import json
import sys
from collections import Counter
from typing import Any

import pytest
from helpers import Bench, full_list, host_info
from net_helpers import (
    FakeServer,
    chunk,
    host_entry,
    http_response,
    list_message,
    request,
    run,
    running_gateway,
    settings,
    until,
)

from coralvale import interface as api
from coralvale.logic import MAX_CANDIDATES, MIN_CANDIDATES, MIN_SUBSET_SIZE
from coralvale.net.config import parse_config
from coralvale.net.discovery import Discovery, Watch

SIZE = 1024


def fleet() -> tuple[api.HostInfo, ...]:
    return tuple(host_info(f"s{i}") for i in range(SIZE))


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("piece", [1460, 1 << 20])
def test_a_list_of_a_thousand_hosts_is_complete_and_decoded_once(
    indent: int | None, piece: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    decoded: list[int] = []

    class CountingDecoder(json.JSONDecoder):
        def raw_decode(self, s: str, idx: int = 0) -> tuple[Any, int]:
            decoded.append(len(s))
            return super().raw_decode(s, idx)

    async def test() -> None:
        host_counts: list[int] = []
        discovery = Discovery(("127.0.0.1", 1), (), (), lambda _, hosts, __: host_counts.append(len(hosts)))
        watch = discovery.watch = Watch(discovery)
        names = [f's-{i:08x} "{{[' for i in range(SIZE)]  # brackets in a string must not count
        message = {
            "index": 42,
            "snapshot": True,
            "endpoints": [host_entry(n, 1 + i) for i, n in enumerate(names)],
        }
        text = json.dumps(message, indent=indent).encode() + b"\n"
        for start in range(0, len(text), piece):
            watch.on_body(text[start : start + piece])
        assert host_counts == [SIZE] and set(discovery.endpoints) == set(names) and not watch.malformed
        assert sum(decoded) <= 2 * len(text)

    monkeypatch.setattr("coralvale.net.discovery.DECODER", CountingDecoder())
    run(test())


def test_one_of_a_thousand_gateways_starts_with_a_thousand_hosts_and_serves_from_a_later_one() -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"served")).start()
        known = [host_entry(f"s-{i}", 1 + i, status="leaving") for i in range(SIZE)]
        async with running_gateway(*known, real_module=True, n_instances=SIZE, me=SIZE - 1) as w:
            watch = await w.registry.watch()
            assert len(w.node.discovery.endpoints) == SIZE
            watch.reply(chunk(list_message(42, host_entry("s-last", host.port))))
            await until(lambda: "s-last" in w.node.discovery.endpoints)
            quota = f"units=1,spread={SIZE},first={SIZE - 1}"
            assert (await w.ask(request(Quota_Info=quota))).body == b"served"
            assert len(w.node.upstreams.pools) == 1  # no connection is opened in advance
        host.stop()

    run(test())


@pytest.mark.parametrize("gateways", [SIZE, 230, 3])
def test_subsets_share_a_thousand_hosts_evenly_and_a_choice_compares_few(gateways: int) -> None:
    counts, hosts = Counter[str](), fleet()
    for index in range(gateways):
        bench = Bench(hosts, gateways=gateways, index=index)
        bench.gateway._classify_hosts(bench.now)
        assert len(bench.gateway.warm_subset) == min(SIZE, max(MIN_SUBSET_SIZE, 4 * SIZE // gateways))
        counts.update(host.info.id for host in bench.gateway.warm_subset)
    assert set(counts) == {s.id for s in hosts} and max(counts.values()) - min(counts.values()) <= 2

    compared = 0

    def decayed_delay_ratio(now: float) -> float:
        nonlocal compared
        compared += 1
        return 1.0

    for host in bench.gateway.warm_subset:
        host.decayed_delay_ratio = decayed_delay_ratio  # type: ignore[method-assign]
    name, actions = bench.request()
    assert any(isinstance(a, api.Send) for a in actions)
    assert MIN_CANDIDATES <= compared <= MAX_CANDIDATES


def test_the_state_of_a_host_is_small_and_is_dropped_with_it() -> None:
    bench = Bench(fleet(), gateways=SIZE)
    for round_ in range(3):  # each list replaces all hosts
        bench.feed(full_list(*(host_info(f"{round_}-{i}") for i in range(SIZE))))
        bench.request()
        assert len(bench.gateway.hosts) == SIZE
    (host, *_) = bench.gateway.hosts.values()
    assert sum(sys.getsizeof(v) for v in [host, vars(host), *vars(host).values()]) < 2048


def test_settings_of_a_thousand_gateways_are_valid() -> None:
    data = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": [host_entry(f"s-{i}", 1) for i in range(SIZE)]},
        "settings": settings(n_instances=SIZE, me=SIZE - 1),
    }
    config = parse_config(json.loads(json.dumps(data)))
    assert config.settings.gateways == SIZE and config.settings.index == SIZE - 1
    assert len(config.known_hosts["endpoints"]) == SIZE
