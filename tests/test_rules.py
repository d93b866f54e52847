"""Edge cases of the five rules (see the section titles), tested on single gateways."""

from dataclasses import replace

from helpers import PLAN, READ, Bench, full_list, host_info

from coralvale import interface as api
from coralvale.logic import KEY_WINDOW_MARGIN_S

KEYED = replace(
    READ, latency_target=4.0, idempotency=api.Idempotency.KEYED, dedup_scope=api.DedupScope.CELL, key_ttl=2.0
)
UNSAFE = replace(READ, idempotency=api.Idempotency.UNSAFE, key_ttl=9.0)
CAPPED = replace(PLAN, rate=10.0, burst=40.0, ceiling_rate=4.0, ceiling_burst=8.0)


def assert_only(actions: list[api.Action], kind: type) -> list[api.Action]:
    assert [type(a) for a in actions] == [kind]
    return actions


# No request is lost


def test_a_request_past_its_time_is_refused_and_not_sent() -> None:
    bench = Bench()
    _, actions = bench.request(expires_at=bench.now)
    assert_only(actions, api.Refuse)


def test_a_request_is_refused_when_no_host_is_known() -> None:
    bench = Bench(hosts=())
    assert_only(bench.request()[1], api.Refuse)


def test_a_timeout_at_the_deadline_gives_one_final_response() -> None:
    bench = Bench(classes=(UNSAFE,))
    name, _ = bench.request()
    bench.now += 4.0
    assert bench.done(name, api.Outcome.TIMEOUT, request_done=False) == [api.Fail(name)]
    assert bench.done(name, api.Outcome.TIMEOUT, request_done=False) == []


def test_repeated_unknown_and_late_outcomes_are_ignored() -> None:
    bench = Bench()
    name, _ = bench.request()
    bench.done(name)
    assert bench.done(name) == []
    assert bench.done(name, attempt=7) == []
    assert bench.done("never seen") == []
    assert bench.feed(api.RequestAbandoned("never seen")) == []
    assert bench.feed(api.TimerFired(99)) == []
    assert bench.feed(api.CounterReply(5, True, 1.0)) == []
    assert bench.gateway.requests == {}


def test_a_repeated_outcome_does_not_start_another_attempt() -> None:
    bench = Bench(hosts=tuple(host_info(f"s{i}") for i in range(4)))
    name, _ = bench.request()
    assert_only(bench.done(name, api.Outcome.CONNECT_FAILED), api.Send)
    assert bench.done(name, api.Outcome.CONNECT_FAILED) == []
    assert bench.gateway.admission.restrictors[1].open_attempts == 1


def test_no_retry_is_sent_after_the_client_has_left() -> None:
    bench = Bench()
    name, _ = bench.request()
    bench.feed(api.RequestAbandoned(name))
    assert bench.done(name, api.Outcome.CONNECT_FAILED) == []


def test_a_broken_stream_is_not_retried() -> None:
    bench = Bench(classes=(replace(READ, streamed=True),))
    name, _ = bench.request()
    bench.feed(api.StreamStarted(name, 0, 0.1))
    assert bench.done(name, api.Outcome.RESET, request_done=True) == []


# No request takes effect twice


def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused() -> None:
    for outcome in (api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMEOUT, api.Outcome.CANCELLED):
        bench = Bench(classes=(UNSAFE,))
        name, _ = bench.request()
        assert bench.done(name, outcome) == [api.Fail(name)]


def test_an_unsafe_request_that_has_not_run_is_retried_at_another_host() -> None:
    for outcome in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED):
        bench = Bench(classes=(UNSAFE,))
        name, actions = bench.request()
        (retry,) = assert_only(bench.done(name, outcome), api.Send)
        assert retry.host != actions[0].host


def test_a_keyed_request_that_may_have_run_is_retried_in_its_cell_and_within_the_key_ttl() -> None:
    hosts = tuple(host_info(f"s{i}", cell=i % 2) for i in range(8))
    cells = {s.id: s.cell for s in hosts}
    bench = Bench(hosts=hosts, classes=(KEYED,))
    name, actions = bench.request()
    (retry,) = assert_only(bench.done(name, api.Outcome.ERROR), api.Send)
    assert cells[retry.host] == cells[actions[0].host]
    bench.now += 2.0  # `key_ttl` counts from the first attempt that may have run
    assert bench.done(name, api.Outcome.ERROR, attempt=1) == [api.Fail(name)]


def test_a_keyed_request_without_another_host_in_its_cell_fails_and_is_not_refused() -> None:
    bench = Bench(hosts=(host_info("a", cell=1), host_info("b", cell=2)), classes=(KEYED,))
    name, _ = bench.request()
    assert bench.done(name, api.Outcome.ERROR) == [api.Fail(name)]


def test_no_second_attempt_is_sent_while_one_is_outstanding() -> None:
    bench = Bench()
    name, _ = bench.request()
    assert [a for a in bench.wait(3.0) if isinstance(a, api.Send | api.Cancel)] == []
    assert_only(bench.done(name, api.Outcome.CANCELLED), api.Refuse)  # too late for a retry


# What was decided is checked again as an attempt is written, as it may have waited for a connection


def may_write(
    bench: Bench, name: str, attempt: int = 0, client_waits: bool = True, in_time: float = 1.0
) -> bool:
    write = api.AttemptWrite(name, attempt, bench.now + in_time, client_waits)
    return bench.gateway.may_write(bench.now, write)


def test_a_keyed_attempt_is_not_written_once_its_key_may_be_forgotten() -> None:
    # Guards against a second run of a keyed request that waited for a connection past its key's window.
    bench = Bench(classes=(KEYED,))
    name, _ = bench.request()
    bench.now += KEYED.key_ttl - KEY_WINDOW_MARGIN_S - 0.01
    assert may_write(bench, name)
    assert_only(bench.done(name, api.Outcome.ERROR), api.Send)
    assert may_write(bench, name, attempt=1)
    bench.now += 0.02
    assert not may_write(bench, name, attempt=1)
    assert bench.done(name, api.Outcome.NOT_SENT, attempt=1) == [api.Fail(name)]


def test_a_first_or_safe_attempt_is_written_however_long_it_has_waited() -> None:
    for request_class in (KEYED, UNSAFE, READ):
        bench = Bench(classes=(request_class,))
        name, _ = bench.request()
        bench.now += 3.5
        assert may_write(bench, name)
    bench = Bench()
    name, _ = bench.request()
    assert_only(bench.done(name, api.Outcome.ERROR), api.Send)
    bench.now += 3.5
    assert may_write(bench, name, attempt=1)


def test_no_attempt_is_written_without_a_client_or_time_or_the_host_that_was_chosen() -> None:
    bench = Bench(hosts=(host_info("a"),))
    name, _ = bench.request()
    assert may_write(bench, name)
    assert not may_write(bench, name, client_waits=False)
    assert not may_write(bench, name, in_time=0.0)
    assert not may_write(bench, "unknown")
    for change in (
        host_info("a", state=api.HostState.DRAINING),
        host_info("a", state=api.HostState.GONE),
        host_info("a", started_at=bench.now),
    ):
        bench.feed(api.HostList(api.ListKind.CHANGES, (change,)))
        assert not may_write(bench, name)
        bench.feed(api.HostList(api.ListKind.CHANGES, (host_info("a"),)))
    bench = Bench()
    name, _ = bench.request()
    bench.feed(api.RequestAbandoned(name))
    assert not may_write(bench, name)


# Draining hosts get nothing new


def test_a_draining_or_gone_host_gets_no_new_attempts() -> None:
    for seed in range(20):
        state = (api.HostState.DRAINING, api.HostState.GONE)[seed % 2]
        bench = Bench(seed=seed)
        bench.feed(api.HostList(api.ListKind.CHANGES, (host_info("a", state=state),)))
        for _ in range(4):
            name, actions = bench.request()
            assert actions[0].host == "b"
            bench.done(name)


def test_a_host_missing_from_a_full_list_is_gone() -> None:
    for seed in range(20):
        bench = Bench(seed=seed)
        bench.feed(full_list(host_info("b")))
        assert bench.request()[1][0].host == "b"


def test_a_failed_list_call_keeps_the_list_and_is_retried() -> None:
    bench = Bench(list_on_request=True)
    assert api.FollowList() in bench.seen
    bench.feed(api.HostList(api.ListKind.FAILED))
    assert_only(bench.request()[1], api.Send)
    assert api.FollowList() in bench.wait(2.0)


# Cold hosts are not overloaded


def test_a_cold_host_gets_traffic_but_is_not_overloaded() -> None:
    bench = Bench(hosts=(host_info("cold", started_at=99.9), host_info("warm")))
    sent = {"cold": 0, "warm": 0}
    held: list[str] = []
    for i in range(300):  # 3 s at 100 requests a second, four of them outstanding
        bench.wait(0.01)
        name, actions = bench.request(customer=1000 + i)
        sent[actions[0].host] += 1
        held.append(name)
        if len(held) > 4:
            bench.done(held.pop(0), delay=0.04)
    capacity = bench.gateway.hosts["cold"].capacity_fraction(bench.gateway.settings, bench.now)
    assert 0 < sent["cold"] <= 2 * capacity * sent["warm"]


def test_a_host_that_restarts_is_cold_again() -> None:
    bench = Bench(hosts=(host_info("a"),))
    bench.feed(api.HostList(api.ListKind.CHANGES, (host_info("a", started_at=bench.now),)))
    sends = [bench.request(customer=i)[1] for i in range(100)]
    # At its start it has a quarter of its capacity.
    assert 10 < sum(isinstance(a[0], api.Send) for a in sends) < 45


def fleet_sends(
    hosts: tuple[api.HostInfo, ...], gateways: int, requests_each: int, **changes: object
) -> dict[str, int]:
    """How many requests many gateways, each aware of only its own, send to each host within 3 s."""
    sent = dict.fromkeys((s.id for s in hosts), 0)
    for seed in range(gateways):
        bench = Bench(hosts=hosts, gateways=gateways, index=seed, seed=seed, **changes)
        for i in range(requests_each):
            bench.wait(3.0 / requests_each)
            name, actions = bench.request(customer=seed * 100 + i)
            if isinstance(actions[0], api.Send):
                sent[actions[0].host] += 1
                bench.done(name)
    return sent


def test_hundreds_of_gateways_do_not_overload_one_cold_host() -> None:
    hosts = (host_info("cold", started_at=99.9), *(host_info(f"w{i}") for i in range(19)))
    sent = fleet_sends(hosts, gateways=300, requests_each=6)
    mean = sum(sent.values()) / 20
    assert 0.15 * mean < sent["cold"] < 0.75 * mean  # at most 0.48 of its full capacity after 3 s


def test_an_all_cold_fleet_gets_no_more_than_its_capacity() -> None:
    hosts = tuple(host_info(f"c{i}", started_at=99.9) for i in range(10))
    sent = fleet_sends(hosts, gateways=200, requests_each=6)
    assert 0.2 < sum(sent.values()) / 1200 < 0.55


def test_a_cold_majority_of_hosts_gets_traffic_by_its_capacity() -> None:
    """36 of 60 hosts are at 29% of their capacity: they get 30% of the load, under half of an overload."""
    cold = tuple(host_info(f"c{i}", started_at=99.9) for i in range(36))
    hosts = (*cold, *(host_info(f"w{i}") for i in range(24)))
    sent = fleet_sends(hosts, gateways=40, requests_each=40, warm_up_time=30.0, overload_multiple=4.0)
    share = sum(sent[s.id] for s in cold) / sum(sent.values())
    assert 0.27 < share < 0.33


def test_requests_are_refused_while_the_list_is_empty_and_served_again_afterwards() -> None:
    bench = Bench(hosts=tuple(host_info(f"s{i}") for i in range(3)))
    held = [bench.request(customer=i)[0] for i in range(3)]
    bench.feed(full_list())
    assert_only(bench.request(customer=8)[1], api.Refuse)
    for name in held:
        assert_only(bench.done(name, api.Outcome.RESET, request_done=False), api.Refuse)
    bench.feed(full_list(host_info("s1")))
    assert_only(bench.request(customer=9)[1], api.Send)


def test_more_entry_gateways_than_gateways_is_no_error() -> None:
    bench = Bench(gateways=2, plans=(CAPPED,))
    bench.wait(60.0)
    # Its share of the ceiling is less than one request.
    assert_only(bench.request(entry_gateways=50)[1], api.Refuse)
    bench = Bench(gateways=2)
    assert_only(bench.request(entry_gateways=50)[1], api.Send)


# Ceilings are not exceeded


def test_a_new_gateway_starts_with_an_empty_share_of_the_ceiling() -> None:
    bench = Bench(plans=(CAPPED,))
    assert_only(bench.request()[1], api.Refuse)
    bench.wait(0.25)  # 4 units a second
    assert_only(bench.request()[1], api.Send)
    assert_only(bench.request()[1], api.Refuse)


def test_the_share_of_the_ceiling_never_exceeds_rate_and_burst() -> None:
    bench = Bench(plans=(CAPPED,))
    bench.wait(30.0)
    sent = 0
    for _ in range(200):  # 2 s: at most 8 + 2 x 4 units, as it is the only entry gateway
        bench.wait(0.01)
        name, actions = bench.request()
        sent += isinstance(actions[0], api.Send)
        bench.done(name)
    assert 14 <= sent <= 16


def test_hung_attempts_count_against_the_open_limit() -> None:
    bench = Bench(plans=(replace(PLAN, rate=0.0, burst=0.0, open_limit=2.0),))
    first, _ = bench.request()
    bench.request()
    assert_only(bench.request()[1], api.Refuse)
    bench.feed(api.RequestAbandoned(first))  # the client has left, the attempt is still outstanding
    assert_only(bench.request()[1], api.Refuse)
    bench.done(first, api.Outcome.TIMEOUT)
    assert_only(bench.request()[1], api.Send)


def test_the_timeout_of_an_attempt_leaves_time_to_notice_it_however_short_the_delays_are() -> None:
    """Three mean delays of 1 ms would be over before the timer of a loaded gateway fires."""
    bench = Bench()
    for _ in range(200):
        name, _ = bench.request()
        bench.done(name, delay=0.001)
        bench.wait(0.3)
    _, (send,) = bench.request()
    assert isinstance(send, api.Send)
    assert bench.now + 0.9 < send.deadline <= bench.now + READ.latency_target - 0.02
