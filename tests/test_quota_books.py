"""Faults of the quota's books that are known and not mended yet: KNOWN-RED.txt names each with its cause."""

from test_quota_input import CEILING, GATEWAYS, PLANS, QuotaBench

from coralvale import interface as api


def test_what_a_call_that_was_turned_away_did_not_add_is_not_taken_back_for_a_client_that_left() -> None:
    bench = QuotaBench()
    for _ in range(20):
        bench.trust_fully()
        bench.leave(bench.request(entry_gateways=GATEWAYS)[0])
    while bench.calls:
        bench.counter(0.0, ok=False)
    assert bench.gateway.admission.restrictors[1].unreported_units >= 0


def test_a_client_that_leaves_while_the_pool_is_asked_gives_its_quota_back() -> None:
    bench = QuotaBench()
    name, _ = bench.request(plan_index=CEILING, entry_gateways=GATEWAYS)
    (call,) = bench.calls
    began = bench.gateway.admission.shared_quota.pending[call.name][0].bucket.started_at
    bench.counter(call.amount + PLANS[CEILING].rate * (bench.now - began))
    assert len(bench.calls) == 1  # to the pool
    bench.leave(name)
    assert bench.gateway.admission.restrictors[1].unreported_units == -1.0


def test_a_refund_gives_back_to_the_ceiling_what_was_taken_from_it() -> None:
    bench = QuotaBench(may_count=False)
    bench.wait(1.0)
    names = [bench.request(plan_index=CEILING, entry_gateways=1)[0] for _ in range(80)]
    restrictor = bench.gateway.admission.restrictors[1]
    before = restrictor.ceiling_tokens
    bench.request(plan_index=CEILING, entry_gateways=40)
    bench.leave(names[0])
    bench.done(names[0], api.Outcome.NOT_SENT, request_done=False)
    assert restrictor.ceiling_tokens <= before + 1.0, (before, restrictor.ceiling_tokens)
