"""Host health, refusals under overload, retries, the subset of hosts and the refusal log."""

import math
from dataclasses import replace

from helpers import READ, Bench, host_info

from coralvale import interface as api

UNSAFE = replace(READ, idempotency=api.Idempotency.UNSAFE)


def test_a_host_that_refuses_connections_is_avoided_and_later_retried() -> None:
    bench = Bench()
    name, actions = bench.request()
    bad = actions[0].host
    (retry,) = bench.done(name, api.Outcome.CONNECT_FAILED)
    bench.done(name, attempt=1)
    for customer in range(10, 14):
        name, actions = bench.request(customer=customer)
        assert actions[0].host == retry.host != bad
    bench.wait(9.0)
    hosts = {bench.request(customer=c)[1][0].host for c in range(20, 30)}
    assert bad in hosts


def test_a_silent_host_is_avoided() -> None:
    bench = Bench()
    _, actions = bench.request()
    silent = actions[0].host
    for customer in range(50):
        bench.wait(0.1)
        name, actions = bench.request(customer=100 + customer)
        if actions[0].host != silent:
            bench.done(name)
    assert actions[0].host != silent


def test_failed_connects_do_not_use_up_the_retry_budget() -> None:
    """Most hosts accept no connections: each request still reaches the one that does."""
    hosts = tuple(host_info(f"s{i}") for i in range(3))
    bench = Bench(hosts=hosts, max_attempts=5)
    served = 0
    for customer in range(60):
        bench.wait(0.05)
        name, actions = bench.request(customer=customer)
        attempt = 0
        while actions and isinstance(actions[0], api.Send):
            if actions[0].host == "s0":
                bench.done(name, attempt=attempt)
                served += 1
                break
            actions = bench.done(name, api.Outcome.CONNECT_FAILED, attempt=attempt)
            attempt += 1
    assert served == 60


def test_errors_at_all_hosts_do_not_double_the_load() -> None:
    bench = Bench()
    for customer in range(100):
        name, _ = bench.request(customer=customer)
        for attempt in range(4):
            bench.done(name, api.Outcome.ERROR, attempt=attempt)
    assert sum(isinstance(a, api.Send) for a in bench.seen) <= 100 + 10 + 100 * 0.2 + 1


def loaded_bench(delay: float, outstanding: int) -> Bench:
    """A gateway with `outstanding` requests at its two hosts, whose responses take `delay` seconds."""
    bench = Bench()
    held: list[str] = []
    for customer in range(400):
        bench.wait(0.02)
        name, actions = bench.request(customer=customer)
        if isinstance(actions[0], api.Send):
            held.append(name)
        if len(held) > outstanding:
            bench.done(held.pop(0), delay=delay)
    return bench


def test_requests_are_refused_early_when_a_queue_has_built_up() -> None:
    bench = loaded_bench(delay=0.9, outstanding=60)
    assert bench.gateway.refusal_log.counts.get("pressed") or any(
        isinstance(a, api.Log) and "pressed" in a.text for a in bench.seen
    )


def test_slow_responses_to_few_attempts_do_not_count_as_a_queue() -> None:
    """Every response is late because of a slow dependency: refusing requests would not help."""
    bench = loaded_bench(delay=0.9, outstanding=2)
    assert not [a for a in bench.seen if isinstance(a, api.Refuse)]


def test_refusals_are_logged_in_one_line_every_ten_seconds() -> None:
    bench = Bench()
    for _ in range(50):
        bench.request()
    logs = [a.text for a in bench.wait(21.0) if isinstance(a, api.Log)]
    assert logs == ["refused in 10 s: quota 42"]


def test_attempts_at_hung_hosts_do_not_count_as_a_queue() -> None:
    """A host that never responds accumulates attempts, but the other hosts still have room."""
    bench = Bench(hosts=(host_info("hung"), host_info("healthy")), gateways=8)
    held: list[str] = []
    for customer in range(300):
        bench.wait(0.02)
        name, actions = bench.request(customer=customer, expires_at=bench.now + 60.0)
        if isinstance(actions[0], api.Send) and actions[0].host == "healthy":
            held.append(name)
        if len(held) > 4:
            bench.done(held.pop(0), delay=0.1)
    at_hung_host = len(bench.gateway.hosts["hung"].outstanding)
    assert at_hung_host >= 1
    assert all(isinstance(bench.request(customer=c)[1][0], api.Send) for c in range(900, 910))


def test_only_failures_after_connecting_are_charged_to_the_retry_budget() -> None:
    sent_by_outcome = {}
    for outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.ERROR):
        bench = Bench(hosts=tuple(host_info(f"s{i}") for i in range(3)))
        for customer in range(30):
            bench.wait(0.1)
            name, _ = bench.request(customer=customer)
            for attempt in range(3):
                bench.done(name, outcome, attempt=attempt)
        sent_by_outcome[outcome] = sum(isinstance(a, api.Send) for a in bench.seen)
    assert sent_by_outcome[api.Outcome.CONNECT_FAILED] == 30 * 3  # each host once
    assert sent_by_outcome[api.Outcome.ERROR] <= 30 * 1.2 + 1


def test_a_host_gets_one_attempt_at_a_time_after_its_backoff() -> None:
    bench = Bench(hosts=tuple(host_info(f"s{i}") for i in range(4)))
    name, actions = bench.request()
    bad = actions[0].host
    bench.done(name, api.Outcome.CONNECT_FAILED)
    bench.done(name, attempt=1)
    bench.wait(1.0)
    sends = [bench.request(customer=c)[1][0].host for c in range(10, 22)]
    assert sends.count(bad) == 1


def test_the_saved_retry_budget_is_limited_by_own_traffic() -> None:
    """Hundreds of gateways with ten saved retries each would send thousands of retries at once."""
    bench = Bench(gateways=300)
    for customer in range(60):
        bench.wait(0.5)
        name, _ = bench.request(customer=customer)
        bench.done(name)
    assert bench.gateway.retry_budget < 2.5


def test_little_own_traffic_does_not_count_as_a_queue() -> None:
    """One of 300 gateways, with two requests a second, has three outstanding by chance: no overload."""
    bench = Bench(hosts=tuple(host_info(f"s{i}") for i in range(75)), gateways=300)
    for customer in range(40):
        bench.wait(0.5)
        name, _ = bench.request(customer=customer)
        bench.done(name, delay=0.3)
    for customer in range(40, 43):
        _, actions = bench.request(customer=customer)
        assert isinstance(actions[0], api.Send)


def test_many_gateways_send_hosts_traffic_by_their_capacity() -> None:
    """A gateway without outstanding attempts must not send everything to the largest hosts."""
    hosts = tuple(host_info(f"s{i}", scale=1.0 + i % 2) for i in range(20))
    sent = {1.0: 0, 2.0: 0}
    for seed in range(150):
        bench = Bench(hosts=hosts, gateways=150, index=seed, seed=seed)
        for customer in range(10):
            name, actions = bench.request(customer=customer)
            bench.done(name)
            sent[1.0 + int(actions[0].host[1:]) % 2] += 1
    assert 1.4 < sent[2.0] / sent[1.0] < 2.4


def test_requests_with_less_time_than_a_response_takes_are_refused() -> None:
    bench = loaded_bench(delay=0.9, outstanding=2)
    _, actions = bench.request(customer=9000, expires_at=bench.now + 0.3)
    assert [type(a) for a in actions] == [api.Refuse]
    _, actions = bench.request(customer=9001, expires_at=bench.now + 3.0)
    assert [type(a) for a in actions] == [api.Send]


def test_timeouts_of_clients_with_little_time_raise_the_delay_but_are_no_host_failure() -> None:
    bench = Bench()
    before = bench.gateway.class_delays[0]
    for customer in range(40):
        name, actions = bench.request(customer=customer, expires_at=bench.now + 0.5)
        if isinstance(actions[0], api.Send):
            bench.done(name, api.Outcome.TIMEOUT, delay=0.5, request_done=True)
    assert bench.gateway.class_delays[0] > 1.5 * before
    assert all(h.failures == 0 for h in bench.gateway.hosts.values())


def test_malformed_load_reports_do_no_harm() -> None:
    bench = Bench(load_report_fields=("queue", "qps"))
    for report in ((), (math.nan,), (math.inf, 1.0), (-5.0, -1.0), (1.0, 2.0, 3.0, 4.0)):
        name, actions = bench.request(customer=len(report) * 10 + bench.serial)
        assert isinstance(actions[0], api.Send)
        bench.done(name, load_report=report)
    assert all(math.isfinite(h.reported_load) for h in bench.gateway.hosts.values())


def test_a_gateway_uses_a_small_subset_and_avoids_its_slow_host() -> None:
    """Two requests a second over all 60 hosts would give two responses a minute from each."""
    bench = Bench(hosts=tuple(host_info(f"s{i}") for i in range(60)), gateways=300)
    name, actions = bench.request()
    bench.done(name)
    slow = next(iter({h.info.id for h in bench.gateway.warm_subset}))
    for customer in range(100):
        bench.wait(0.5)
        name, actions = bench.request(customer=customer)
        bench.done(name, delay=3.0 if actions[0].host == slow else 0.1)
    assert len(bench.gateway.warm_subset) == 12
    sends = [a.host for a in bench.seen if isinstance(a, api.Send)]
    assert sends.count(slow) <= 5


def test_a_lost_attempt_does_not_make_its_host_unhealthy() -> None:
    """Once it is long overdue and later attempts have been answered, it no longer counts."""
    bench = Bench(hosts=(host_info("s0"), host_info("s1")))
    _, (held, *_) = bench.request(customer=1)
    for customer in range(2, 200, 4):
        names = [bench.request(customer=customer + i)[0] for i in range(4)]
        bench.wait(0.01)
        for name in names:
            bench.done(name, delay=0.01)
    bench.wait(1.0)
    picked = {bench.request(customer=customer)[1][0].host for customer in range(200, 205)}
    assert held.host in picked


def test_a_safe_request_times_out_early_enough_for_a_retry_and_an_unsafe_one_does_not() -> None:
    for cls in (READ, UNSAFE):
        bench = Bench(classes=(cls,))
        for customer in range(200):
            name, _ = bench.request(customer=customer)
            bench.wait(0.01)
            bench.done(name, delay=0.01)
        started = bench.now
        _, (send, *_) = bench.request(customer=1000, expires_at=started + 4.0)
        assert (send.deadline < started + cls.latency_target) == (cls is READ)
        # The timeout is long enough for slow responses.
        assert cls is UNSAFE or send.deadline > started + cls.latency_target / 2


def many_hosts(count: int) -> tuple[api.HostInfo, ...]:
    return tuple(host_info(f"s{i}") for i in range(count))


def subset_of(bench: Bench) -> set[str]:
    bench.request(customer=99999)
    return {h.info.id for h in bench.gateway.warm_subset}


def test_every_host_is_in_about_as_many_subsets() -> None:
    """With random subsets one host in ten would be in half again as many of them as the mean."""
    subsets = [subset_of(Bench(hosts=many_hosts(60), gateways=40, index=i, seed=i)) for i in range(40)]
    counts = [sum(f"s{i}" in subset for subset in subsets) for i in range(60)]
    assert {len(subset) for subset in subsets} == {12}
    assert min(counts) >= 7 and max(counts) <= 9


def test_a_change_of_the_list_keeps_most_of_the_subset() -> None:
    bench = Bench(hosts=many_hosts(60), gateways=40, index=7)
    before = subset_of(bench)
    gone = api.HostInfo("s59", api.HostState.GONE)
    bench.feed(api.HostList(api.ListKind.CHANGES, (gone, host_info("t0"))))
    assert len(subset_of(bench) & before) >= 10


def test_the_subset_grows_by_one_for_a_failing_host() -> None:
    bench = Bench(hosts=many_hosts(60), gateways=40, index=7)
    before = subset_of(bench)
    for customer in range(40):
        name, (send, *_) = bench.request(customer=customer)
        if send.host == min(before):
            bench.done(name, api.Outcome.FULL, request_done=False)
            break
        bench.done(name)
    bench.wait(1.1)
    assert len(subset_of(bench)) == 13 and subset_of(bench) > before


def test_a_retry_goes_to_a_host_of_the_subset() -> None:
    bench = Bench(hosts=many_hosts(60), gateways=40, index=7)
    subset = subset_of(bench)
    for customer in range(20):
        name, actions = bench.request(customer=customer)
        (retry,) = bench.done(name, api.Outcome.CONNECT_FAILED, request_done=False)
        assert isinstance(retry, api.Send) and retry.host in subset - {actions[0].host}
        bench.done(name, attempt=1)
