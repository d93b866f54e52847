"""The checker of the soak: finds nothing in a good record, and each rule violated in one that breaks it."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec import structs

from testbed.soak import record as r
from testbed.soak.checker import MAX_MEMORY_GROWTH_BYTES, Rule, check

CUSTOMER = 5  # whose units are checked; those of customer 9 are not
ENTRY_NAME = CUSTOMER << 24 | 1  # of an entry of this customer on the counter
CONDITIONS = r.Conditions(
    seed=1, drain_grace=1.0, key_window=5.0, longest_patience=2.0, books_customers=(CUSTOMER,)
)
MEMORY = 20 * 2**20  # bytes


def sent(at: float, request: str = "q1", **more: object) -> r.RequestSent:
    fields: dict[str, object] = {
        "gateway": 0, "start": 0, "repeat": "safe", "patience": 2.0, "customer": CUSTOMER, "units": 1.0,
        "kept": False, "resent": False, **more,
    }  # fmt: skip
    return r.RequestSent(at, request, **fields)  # type: ignore[arg-type]


def arrived(at: float, request: str = "q1", host: str = "h1", patience: float = 1.9) -> r.AttemptArrived:
    return r.AttemptArrived(at, request, host, 0.0, at, patience)


def answered(at: float, request: str = "q1", status: int = 200, is_own: bool = True) -> r.Answered:
    return r.Answered(at, request, status, is_own)


def called(at: float, amount: float = 1.0, added: bool = True, certain: bool = True) -> r.CounterCalled:
    return r.CounterCalled(at, 0, ENTRY_NAME, amount, added, certain)


STARTED: list[r.AnyEntry] = [r.ProcessStarted(0.0, 0, 0), r.ProcessReady(0.5, 0, 0, 15, MEMORY)]
SERVED: list[r.AnyEntry] = [sent(1.0), called(1.0), arrived(1.01), answered(1.05)]
ENDED: list[r.AnyEntry] = [
    r.ProcessRested(20.0, 0, 0, 18, MEMORY, 2),
    r.ProcessSignalled(21.0, 0, 0, "SIGTERM", False),
    r.ProcessExited(22.0, 0, 0, 0),
]


def violated_rules(
    *entries: r.AnyEntry, served: bool = True, conditions: r.Conditions = CONDITIONS
) -> list[Rule]:
    """The rules violated in a good record with these entries added."""
    all_entries = [*STARTED, *(SERVED if served else []), *entries]
    if not any(isinstance(e, r.ProcessExited) for e in entries):
        all_entries += ENDED
    return [violation.rule for violation in check(r.Record(conditions, all_entries))]


def violated_with_unsafe(*entries: r.AnyEntry) -> list[Rule]:
    """The rules violated in a record with an unsafe request and these entries."""
    return violated_rules(sent(1.0, repeat="unsafe", customer=9), *entries, served=False)


def test_a_good_record_has_no_violations_and_can_be_read_back(tmp_path: Path) -> None:
    assert violated_rules() == []
    record = r.Record(CONDITIONS, [*STARTED, *SERVED, *ENDED])
    record.write(tmp_path / "record")
    assert r.Record.read(tmp_path / "record") == record


def test_a_request_needs_a_response_in_time() -> None:
    assert violated_rules(sent(2.0, "q2", customer=9)) == [Rule.NO_RESPONSE]
    assert violated_rules(sent(2.0, "q2", customer=9), answered(4.6, "q2", 503)) == [Rule.NO_RESPONSE]
    assert violated_rules(sent(2.0, "q2", customer=9), answered(4.4, "q2", 503)) == []
    assert violated_rules(sent(2.0, "q2", customer=9), r.ConnectionEnded(2.1, "q2", False)) == [
        Rule.NO_RESPONSE
    ]


def test_a_missing_response_is_excused_by_a_kill_a_client_that_left_or_a_connection_flood() -> None:
    killed = r.ProcessSignalled(2.1, 0, 0, "SIGKILL", False)
    exited = r.ProcessExited(2.2, 0, 0, -9)
    assert violated_rules(sent(2.0, "q2", customer=9), killed, exited) == []
    assert violated_rules(sent(2.0, "q2", customer=9), r.ClientLeft(2.1, "q2")) == []
    closed = r.ConnectionEnded(2.1, "q2", False)
    assert violated_rules(sent(2.0, "q2", customer=9), closed, r.Crowded(1.9, 0, 3.0)) == []
    attempt = arrived(2.05, "q2")  # a host received it, so it was read
    assert violated_rules(sent(2.0, "q2", customer=9), attempt, closed, r.Crowded(1.9, 0, 3.0)) == [
        Rule.NO_RESPONSE
    ]


def test_a_missing_response_is_excused_by_a_kill_that_the_client_had_not_noticed() -> None:
    # Guards against a false alarm: the system accepts a connection of a process that is being killed.
    killed = r.ProcessSignalled(1.9, 0, 0, "SIGKILL", False)
    ended = (r.ProcessExited(2.05, 0, 0, -9), r.ConnectionEnded(2.04, "q2", False))
    assert violated_rules(sent(2.0, "q2", customer=9), killed, *ended) == []
    restarted = (r.ProcessStarted(2.1, 0, 1), r.ProcessReady(2.2, 0, 1, 15, MEMORY))
    lost_later = (sent(2.3, "q3", customer=9, start=1), r.ConnectionEnded(2.4, "q3", False))
    assert violated_rules(killed, *ended[:1], *restarted, *lost_later) == [Rule.NO_RESPONSE]


def test_a_response_is_due_before_the_kill_in_a_planned_restart() -> None:
    sigterm = r.ProcessSignalled(1.5, 0, 0, "SIGTERM", False)
    kill = r.ProcessSignalled(3.0, 0, 0, "SIGKILL", True)
    exited = r.ProcessExited(3.1, 0, 0, -9)
    assert violated_rules(sent(2.0, "q2", customer=9), sigterm, kill, exited) == [Rule.NO_RESPONSE]


def test_stalls_within_a_time_limit_extend_it() -> None:
    late = (sent(2.0, "q2", customer=9), answered(4.65, "q2", 503))
    assert violated_rules(*late, r.Delayed(4.2, 0, 4.35)) == []
    assert violated_rules(*late, r.Delayed(4.2, -1, 4.35)) == []
    assert violated_rules(*late, r.Delayed(4.2, 1, 4.35)) == [Rule.NO_RESPONSE]
    assert violated_rules(*late, r.Delayed(3.0, 0, 3.9)) == [Rule.NO_RESPONSE]


def test_a_request_has_one_response_and_its_own() -> None:
    assert violated_rules(answered(1.1)) == [Rule.DUPLICATE_RESPONSE]
    assert violated_rules(r.ExtraAnswer(1.1, "q1")) == [Rule.DUPLICATE_RESPONSE]
    assert violated_rules(sent(2.0, "q2", customer=9), answered(2.1, "q2", is_own=False)) == [
        Rule.WRONG_RESPONSE
    ]


def test_no_attempt_is_sent_for_a_client_that_has_left() -> None:
    left = (sent(2.0, "q2", customer=9), r.ClientLeft(2.1, "q2"))
    assert violated_rules(*left, arrived(2.2, "q2")) == []
    assert violated_rules(*left, arrived(2.3, "q2")) == [Rule.ABANDONED_REQUEST_SENT]


def test_the_x_timeout_of_an_attempt_is_at_most_the_remaining_time() -> None:
    request = sent(2.0, "q2", customer=9)
    assert violated_rules(request, arrived(2.3, "q2", patience=1.85), answered(2.4, "q2")) == []
    assert violated_rules(request, arrived(2.3, "q2", patience=1.95), answered(2.4, "q2")) == [
        Rule.X_TIMEOUT_TOO_LONG
    ]


def test_no_attempt_is_sent_to_a_draining_host_after_the_grace_period() -> None:
    drain = r.HostChanged(2.0, "h1", "leaving", 0.0, 2.0)
    notified = r.HostTold(2.1, 0, "h1", "leaving")

    def at(when: float, *entries: r.AnyEntry) -> list[Rule]:
        request = (sent(when, "q2", customer=9), arrived(when, "q2"), answered(when + 0.1, "q2"))
        return violated_rules(drain, *entries, *request)

    assert at(3.0, notified) == []
    assert at(3.3, notified) == [Rule.DRAINING_HOST_USED]
    assert at(8.9) == []  # without a message, a drain counts as known after 6 s
    assert at(9.2) == [Rule.DRAINING_HOST_USED]
    assert at(3.3, notified, r.HostChanged(2.5, "h1", "left", 0.0, 2.5)) == [Rule.DRAINING_HOST_USED]
    assert at(3.3, notified, r.HostChanged(3.0, "h1", "active", 1e9, 3.0)) == []


def test_an_unsafe_request_is_not_sent_again_once_it_may_have_run() -> None:
    first, second = arrived(1.1), arrived(1.3, host="h2", patience=1.6)
    rejected = r.AttemptEnded(1.2, "q1", "h1", True)
    failed = r.AttemptEnded(1.2, "q1", "h1", False)
    assert violated_with_unsafe(first, rejected, second, answered(1.4)) == []
    assert violated_with_unsafe(first, failed, second, answered(1.4)) == [Rule.FORBIDDEN_RETRY]
    assert violated_with_unsafe(first, failed, answered(1.4, status=502)) == []
    assert violated_with_unsafe(first, failed, answered(1.4, status=503)) == [Rule.REFUSED_AFTER_ATTEMPT]


def test_a_client_may_resend_an_unsafe_request_after_its_gateway_was_killed() -> None:
    resent = sent(1.4, repeat="unsafe", customer=9, gateway=1, resent=True)
    attempts = (arrived(1.1), r.AttemptEnded(1.2, "q1", "h1", False), resent, arrived(1.5), answered(1.6))
    other = (r.ProcessStarted(0.0, 1, 0), r.ProcessReady(0.5, 1, 0, 15, MEMORY))
    killed = (r.ProcessSignalled(1.3, 0, 0, "SIGKILL", False), r.ProcessExited(1.35, 0, 0, -9))
    assert violated_with_unsafe(*attempts, *other, *killed) == []
    assert violated_with_unsafe(*attempts, *other) == [Rule.FORBIDDEN_RETRY]


def test_a_resent_unsafe_request_may_be_refused_by_a_gateway_that_never_sent_it() -> None:
    # Guards against a false alarm: the attempt was the killed gateway's, and the other one knows of none.
    before = (arrived(1.1), r.AttemptEnded(1.2, "q1", "h1", False))
    resent = sent(1.4, repeat="unsafe", customer=9, gateway=1, resent=True)
    other = (r.ProcessStarted(0.0, 1, 0), r.ProcessReady(0.5, 1, 0, 15, MEMORY))
    killed = (r.ProcessSignalled(1.3, 0, 0, "SIGKILL", False), r.ProcessExited(1.35, 0, 0, -9))
    refused = (*before, resent, answered(1.6, status=503), *other)
    assert violated_with_unsafe(*refused, *killed) == []
    assert violated_with_unsafe(*refused) == [Rule.REFUSED_AFTER_ATTEMPT]
    own_attempt = (arrived(1.5, host="h2", patience=1.6), r.AttemptEnded(1.55, "q1", "h2", False))
    assert violated_with_unsafe(*refused, *killed, *own_attempt) == [Rule.REFUSED_AFTER_ATTEMPT]
    refused_first = (*before, answered(1.25, status=503), *killed)
    assert violated_with_unsafe(*refused_first) == [Rule.REFUSED_AFTER_ATTEMPT]


def test_a_keyed_request_is_sent_again_only_while_its_key_is_valid() -> None:
    request = sent(1.0, repeat="keyed", customer=9, patience=20.0)
    first = (request, arrived(1.1, patience=19.0), r.AttemptEnded(1.2, "q1", "h1", False))
    assert violated_rules(*first, arrived(5.0, patience=15.0), answered(5.1), served=False) == []
    late = (arrived(6.3, patience=14.0), answered(6.4))
    assert violated_rules(*first, *late, served=False) == [Rule.FORBIDDEN_RETRY]


def test_the_units_on_the_counter_match_the_requests() -> None:
    assert violated_rules(called(2.0)) == [Rule.COUNTER_MISMATCH]
    assert violated_rules(called(2.0), called(3.0, -1.0)) == []
    assert violated_rules(called(2.0), called(3.0, -1.0, added=False)) == [Rule.COUNTER_MISMATCH]
    assert violated_rules(called(2.0, certain=False)) == []
    assert violated_rules(called(2.0, 2.0), called(2.0, 1.0, certain=False)) == [Rule.COUNTER_MISMATCH]
    unseen = (sent(2.0, "q2"), answered(2.1, "q2", 503))  # a host that accepts no connection sees no attempt
    assert violated_rules(*unseen) == violated_rules(*unseen, called(2.0)) == []
    assert violated_rules(sent(2.0, "q2"), arrived(2.0, "q2"), answered(2.1, "q2")) == [Rule.COUNTER_MISMATCH]


def test_the_result_of_a_call_is_uncertain_only_next_to_a_stall_or_lag() -> None:
    # Guards against a false alarm: a late event loop reads a call that its gateway has given up by then.
    lost_units = (called(2.0), called(3.0, -1.0, added=False))
    for gateway in (-1, 0):
        assert violated_rules(*lost_units, r.Delayed(2.95, gateway, 2.98)) == []
        assert violated_rules(*lost_units, r.Delayed(2.6, gateway, 2.8)) == [Rule.COUNTER_MISMATCH]
    assert violated_rules(*lost_units, r.Delayed(2.95, 1, 2.98)) == [Rule.COUNTER_MISMATCH]


def test_a_host_gets_the_body_that_the_client_sent() -> None:
    request = sent(2.0, "q2", customer=9)
    changed = r.AttemptArrived(2.01, "q2", "h1", 0.0, 2.0, 1.9, is_whole=False)
    assert violated_rules(request, changed, answered(2.1, "q2")) == [Rule.BODY_CHANGED]
    assert violated_rules(request, arrived(2.01, "q2"), answered(2.1, "q2")) == []


def served_under_a_ceiling(count: int, begin: float = 2.0) -> list[r.AnyEntry]:
    """Requests of 4 units each that reach a host within 0.01 s, each of them twice."""
    entries: list[r.AnyEntry] = []
    for number in range(count):
        name = f"c{begin}-{number}"
        entries.append(sent(begin, name, customer=9, units=4.0))
        entries += [arrived(begin + 0.01, name), arrived(begin + 0.02, name, "h2")]
        entries.append(answered(begin + 0.05, name))
    return entries


def test_no_more_units_reach_hosts_than_a_ceiling_allows() -> None:
    ceiling = r.Ceiling(customer=9, rate=10.0, burst=40.0, tolerance=4.0)
    conditions = structs.replace(CONDITIONS, ceilings=(ceiling,))
    # The burst and the tolerance, and what the rate gives in 0.15 s.
    assert violated_rules(*served_under_a_ceiling(11), conditions=conditions) == []
    passed = served_under_a_ceiling(12)
    assert violated_rules(*passed, conditions=conditions) == [Rule.CEILING_PASSED]
    assert violated_rules(*passed) == []  # another customer's
    again = [*served_under_a_ceiling(11), *served_under_a_ceiling(5, begin=4.0)]
    assert violated_rules(*again, conditions=conditions) == []
    again = [*served_under_a_ceiling(11), *served_under_a_ceiling(6, begin=4.0)]
    assert violated_rules(*again, conditions=conditions) == [Rule.CEILING_PASSED]


def test_a_ceiling_allows_for_the_longest_delay_of_a_gateway_and_of_the_test() -> None:
    # Guards against a false alarm: an attempt that was decided on earlier arrives with later ones.
    ceiling = r.Ceiling(customer=9, rate=10.0, burst=40.0, tolerance=4.0)
    conditions = structs.replace(CONDITIONS, ceilings=(ceiling,))
    passed = served_under_a_ceiling(12)
    stall, lag = r.Delayed(1.0, 0, 1.3), r.Delayed(1.0, -1, 1.15)
    assert violated_rules(*passed, stall, lag, conditions=conditions) == []
    many = [r.Delayed(0.5 + 0.1 * i, 0, 0.55 + 0.1 * i) for i in range(10)]
    assert violated_rules(*passed, *many, conditions=conditions) == [Rule.CEILING_PASSED]


def test_processes_are_ready_in_time_and_end_only_when_signalled() -> None:
    started = r.ProcessStarted(5.0, 1, 0)
    ready = r.ProcessReady(15.2, 1, 0, 15, MEMORY)
    assert violated_rules(started) == [Rule.NOT_READY]
    assert violated_rules(started, ready) == [Rule.NOT_READY]
    assert violated_rules(started, ready, r.Delayed(6.0, 1, 6.3)) == []
    assert violated_rules(started, r.ProcessSignalled(6.0, 1, 0, "SIGTERM", False)) == []
    assert violated_rules(r.ProcessExited(15.0, 0, 0, 0)) == [Rule.CRASH]
    sigterm = r.ProcessSignalled(14.0, 0, 0, "SIGTERM", False)
    assert violated_rules(sigterm, r.ProcessExited(15.0, 0, 0, 1)) == [Rule.CRASH]
    assert violated_rules(sigterm, r.ProcessExited(15.0, 0, 0, 0)) == []
    assert violated_rules(r.ErrorLogged(3.0, 0, "Traceback (most recent call last):")) == [Rule.CRASH]


@pytest.mark.parametrize(("descriptors", "memory_growth"), [(40, 0), (18, MAX_MEMORY_GROWTH_BYTES + 1)])
def test_descriptors_and_memory_are_released(descriptors: int, memory_growth: int) -> None:
    assert violated_rules(r.ProcessRested(19.0, 0, 0, descriptors, MEMORY + memory_growth, 2)) == [
        Rule.RESOURCE_LEAK
    ]
