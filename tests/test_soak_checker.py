"""The soak's checker: a good record shows nothing, and each rule is named by a record with that one fault."""

from __future__ import annotations

from pathlib import Path

import pytest

from testbed.soak import record as r
from testbed.soak.checker import MAX_MEMORY_GROWTH_BYTES, Rule, check

CUSTOMER = 5
NAME = CUSTOMER << 24 | 1
CONDITIONS = r.Conditions(
    seed=1, drain_grace=1.0, key_window=5.0, longest_patience=2.0, books_customers=(CUSTOMER,)
)
MEMORY = 20 * 2**20  # bytes


def sent(at: float, name: str = "q1", **more: object) -> r.RequestSent:
    fields: dict[str, object] = {
        "gateway": 0, "start": 0, "repeat": "safe", "patience": 2.0, "customer": CUSTOMER, "units": 1.0,
        "kept": False, "resent": False, **more,
    }  # fmt: skip
    return r.RequestSent(at, name, **fields)  # type: ignore[arg-type]


def arrived(at: float, name: str = "q1", host: str = "h1", patience: float = 1.9) -> r.AttemptArrived:
    return r.AttemptArrived(at, name, host, 0.0, at, patience)


def answered(at: float, name: str = "q1", status: int = 200, is_own: bool = True) -> r.Answered:
    return r.Answered(at, name, status, is_own)


def called(at: float, amount: float = 1.0, added: bool = True, certain: bool = True) -> r.CounterCalled:
    return r.CounterCalled(at, 0, NAME, amount, added, certain)


STARTED: list[r.AnyEntry] = [r.ProcessStarted(0.0, 0, 0), r.ProcessReady(0.5, 0, 0, 15, MEMORY)]
SERVED: list[r.AnyEntry] = [sent(1.0), called(1.0), arrived(1.01), answered(1.05)]
ENDED: list[r.AnyEntry] = [
    r.ProcessRested(20.0, 0, 0, 18, MEMORY, 2),
    r.ProcessSignalled(21.0, 0, 0, "SIGTERM", False),
    r.ProcessExited(22.0, 0, 0, 0),
]


def rules(*entries: r.AnyEntry, served: bool = True) -> list[Rule]:
    """The rules that a good record with these entries besides breaks."""
    whole = [*STARTED, *(SERVED if served else []), *entries]
    if not any(isinstance(e, r.ProcessExited) for e in entries):
        whole += ENDED
    return [violation.rule for violation in check(r.Record(CONDITIONS, whole))]


def unsafe(*entries: r.AnyEntry) -> list[Rule]:
    return rules(sent(1.0, repeat="unsafe", customer=9), *entries, served=False)


def test_a_good_record_shows_nothing_and_can_be_read_back(tmp_path: Path) -> None:
    assert rules() == []
    record = r.Record(CONDITIONS, [*STARTED, *SERVED, *ENDED])
    record.write(tmp_path / "record")
    assert r.Record.read(tmp_path / "record") == record


def test_a_request_needs_its_answer_in_time() -> None:
    assert rules(sent(2.0, "q2", customer=9)) == [Rule.NO_RESPONSE]
    assert rules(sent(2.0, "q2", customer=9), answered(4.6, "q2", 503)) == [Rule.NO_RESPONSE]
    assert rules(sent(2.0, "q2", customer=9), answered(4.4, "q2", 503)) == []
    assert rules(sent(2.0, "q2", customer=9), r.ConnectionEnded(2.1, "q2", False)) == [Rule.NO_RESPONSE]


def test_a_request_that_the_protocol_gives_up_is_not_lost() -> None:
    killed = r.ProcessSignalled(2.1, 0, 0, "SIGKILL", False)
    dead = r.ProcessExited(2.2, 0, 0, -9)
    assert rules(sent(2.0, "q2", customer=9), killed, dead) == []
    assert rules(sent(2.0, "q2", customer=9), r.ClientLeft(2.1, "q2")) == []
    shut = r.ConnectionEnded(2.1, "q2", False)
    assert rules(sent(2.0, "q2", customer=9), shut, r.Crowded(1.9, 0, 3.0)) == []
    read = arrived(2.05, "q2")  # shut unread it was not
    assert rules(sent(2.0, "q2", customer=9), read, shut, r.Crowded(1.9, 0, 3.0)) == [Rule.NO_RESPONSE]


def test_what_a_planned_kill_finds_unanswered_is_lost() -> None:
    term = r.ProcessSignalled(1.5, 0, 0, "SIGTERM", False)
    kill = r.ProcessSignalled(3.0, 0, 0, "SIGKILL", True)
    dead = r.ProcessExited(3.1, 0, 0, -9)
    assert rules(sent(2.0, "q2", customer=9), term, kill, dead) == [Rule.NO_RESPONSE]


def test_a_held_up_gateway_is_given_that_time() -> None:
    late = (sent(2.0, "q2", customer=9), answered(4.65, "q2", 503))
    assert rules(*late, r.Delayed(4.2, 0, 4.35)) == []
    assert rules(*late, r.Delayed(4.2, -1, 4.35)) == []
    assert rules(*late, r.Delayed(4.2, 1, 4.35)) == [Rule.NO_RESPONSE]
    assert rules(*late, r.Delayed(3.0, 0, 3.9)) == [Rule.NO_RESPONSE]


def test_a_request_has_one_answer_and_its_own() -> None:
    assert rules(answered(1.1)) == [Rule.DUPLICATE_RESPONSE]
    assert rules(r.ExtraAnswer(1.1, "q1")) == [Rule.DUPLICATE_RESPONSE]
    assert rules(sent(2.0, "q2", customer=9), answered(2.1, "q2", is_own=False)) == [Rule.WRONG_RESPONSE]


def test_nothing_is_sent_for_a_client_that_has_gone() -> None:
    left = (sent(2.0, "q2", customer=9), r.ClientLeft(2.1, "q2"))
    assert rules(*left, arrived(2.2, "q2")) == []
    assert rules(*left, arrived(2.3, "q2")) == [Rule.ABANDONED_REQUEST_SENT]


def test_a_host_is_told_of_the_time_that_is_left() -> None:
    request = sent(2.0, "q2", customer=9)
    assert rules(request, arrived(2.3, "q2", patience=1.85), answered(2.4, "q2")) == []
    assert rules(request, arrived(2.3, "q2", patience=1.95), answered(2.4, "q2")) == [Rule.X_TIMEOUT_TOO_LONG]


def test_nothing_is_sent_to_a_host_that_drains_after_the_grace() -> None:
    drains = r.HostChanged(2.0, "h1", "leaving", 0.0, 2.0)
    told = r.HostTold(2.1, 0, "h1", "leaving")

    def at(when: float, *entries: r.AnyEntry) -> list[Rule]:
        request = (sent(when, "q2", customer=9), arrived(when, "q2"), answered(when + 0.1, "q2"))
        return rules(drains, *entries, *request)

    assert at(3.0, told) == []
    assert at(3.3, told) == [Rule.DRAINING_HOST_USED]
    assert at(8.9) == []  # not told: it counts as told after 6 s
    assert at(9.2) == [Rule.DRAINING_HOST_USED]
    assert at(3.3, told, r.HostChanged(2.5, "h1", "left", 0.0, 2.5)) == [Rule.DRAINING_HOST_USED]
    assert at(3.3, told, r.HostChanged(3.0, "h1", "active", 1e9, 3.0)) == []


def test_an_unsafe_request_runs_once() -> None:
    first, second = arrived(1.1), arrived(1.3, host="h2", patience=1.6)
    never = r.AttemptEnded(1.2, "q1", "h1", True)
    broke = r.AttemptEnded(1.2, "q1", "h1", False)
    assert unsafe(first, never, second, answered(1.4)) == []
    assert unsafe(first, broke, second, answered(1.4)) == [Rule.FORBIDDEN_RETRY]
    assert unsafe(first, broke, answered(1.4, status=502)) == []
    assert unsafe(first, broke, answered(1.4, status=503)) == [Rule.REFUSED_AFTER_ATTEMPT]


def test_a_client_that_sends_again_after_a_kill_repeats_by_itself() -> None:
    again = sent(1.4, repeat="unsafe", customer=9, gateway=1, resent=True)
    both = (arrived(1.1), r.AttemptEnded(1.2, "q1", "h1", False), again, arrived(1.5), answered(1.6))
    other = (r.ProcessStarted(0.0, 1, 0), r.ProcessReady(0.5, 1, 0, 15, MEMORY))
    killed = (r.ProcessSignalled(1.3, 0, 0, "SIGKILL", False), r.ProcessExited(1.35, 0, 0, -9))
    assert unsafe(*both, *other, *killed) == []
    assert unsafe(*both, *other) == [Rule.FORBIDDEN_RETRY]


def test_a_keyed_request_is_repeated_within_its_window() -> None:
    request = sent(1.0, repeat="keyed", customer=9, patience=20.0)
    first = (request, arrived(1.1, patience=19.0), r.AttemptEnded(1.2, "q1", "h1", False))
    assert rules(*first, arrived(5.0, patience=15.0), answered(5.1), served=False) == []
    late = (arrived(6.3, patience=14.0), answered(6.4))
    assert rules(*first, *late, served=False) == [Rule.FORBIDDEN_RETRY]


def test_the_counter_s_books_balance() -> None:
    assert rules(called(2.0)) == [Rule.COUNTER_MISMATCH]
    assert rules(called(2.0), called(3.0, -1.0)) == []
    assert rules(called(2.0), called(3.0, -1.0, added=False)) == [Rule.COUNTER_MISMATCH]
    assert rules(called(2.0, certain=False)) == []
    assert rules(called(2.0, 2.0), called(2.0, 1.0, certain=False)) == [Rule.COUNTER_MISMATCH]
    unseen = (sent(2.0, "q2"), answered(2.1, "q2", 503))  # a host that takes no connection sees nothing
    assert rules(*unseen) == rules(*unseen, called(2.0)) == []
    assert rules(sent(2.0, "q2"), arrived(2.0, "q2"), answered(2.1, "q2")) == [Rule.COUNTER_MISMATCH]


def test_processes_are_ready_in_time_and_end_when_they_are_told() -> None:
    started = r.ProcessStarted(5.0, 1, 0)
    ready = r.ProcessReady(15.2, 1, 0, 15, MEMORY)
    assert rules(started) == [Rule.NOT_READY]
    assert rules(started, ready) == [Rule.NOT_READY]
    assert rules(started, ready, r.Delayed(6.0, 1, 6.3)) == []
    assert rules(started, r.ProcessSignalled(6.0, 1, 0, "SIGTERM", False)) == []
    assert rules(r.ProcessExited(15.0, 0, 0, 0)) == [Rule.CRASH]
    term = r.ProcessSignalled(14.0, 0, 0, "SIGTERM", False)
    assert rules(term, r.ProcessExited(15.0, 0, 0, 1)) == [Rule.CRASH]
    assert rules(term, r.ProcessExited(15.0, 0, 0, 0)) == []
    assert rules(r.ErrorLogged(3.0, 0, "Traceback (most recent call last):")) == [Rule.CRASH]


@pytest.mark.parametrize(("descriptors", "grown"), [(40, 0), (18, MAX_MEMORY_GROWTH_BYTES + 1)])
def test_descriptors_and_memory_go_back(descriptors: int, grown: int) -> None:
    assert rules(r.ProcessRested(19.0, 0, 0, descriptors, MEMORY + grown, 2)) == [Rule.RESOURCE_LEAK]
