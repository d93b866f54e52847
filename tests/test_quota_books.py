"""Units of requests that are released, refunded or not added must be given back exactly once."""

from test_quota_input import CEILING, GATEWAYS, PLANS, QuotaBench

from coralvale import interface as api


def test_units_of_a_rejected_call_are_not_taken_back_for_a_client_that_left() -> None:
    bench = QuotaBench()
    for _ in range(20):
        bench.set_full_coverage()
        bench.leave(bench.request(entry_gateways=GATEWAYS)[0])
    while bench.calls:
        bench.answer_oldest_call(0.0, ok=False)
    assert bench.gateway.admission.restrictors[1].unreported_units >= 0


def test_a_client_that_leaves_during_the_call_to_the_pool_gives_its_quota_back() -> None:
    bench = QuotaBench()
    name, _ = bench.request(plan_index=CEILING, entry_gateways=GATEWAYS)
    (call,) = bench.calls
    started_at = bench.gateway.admission.shared_quota.pending[call.name][0].bucket.started_at
    bench.answer_oldest_call(call.amount + PLANS[CEILING].rate * (bench.now - started_at))
    assert len(bench.calls) == 1  # to the pool
    bench.leave(name)
    assert bench.gateway.admission.restrictors[1].unreported_units == -1.0


def test_a_refund_returns_no_more_ceiling_tokens_than_were_taken() -> None:
    bench = QuotaBench(may_count=False)
    bench.wait(1.0)
    names = [bench.request(plan_index=CEILING, entry_gateways=1)[0] for _ in range(80)]
    restrictor = bench.gateway.admission.restrictors[1]
    before = restrictor.ceiling_tokens
    bench.request(plan_index=CEILING, entry_gateways=40)
    bench.leave(names[0])
    bench.done(names[0], api.Outcome.NOT_SENT, request_done=False)
    assert restrictor.ceiling_tokens <= before + 1.0, (before, restrictor.ceiling_tokens)
