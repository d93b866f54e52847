"""The memory of ids that must not run again."""

from __future__ import annotations

from coralvale.net.request_ids import RecentIds


def test_an_id_is_remembered_for_a_period_and_forgotten_after_two() -> None:
    recent = RecentIds(period=30.0, max_ids=100)
    recent.add(1000.0, "a")
    recent.add(1029.0, "b")
    assert "a" in recent and "b" in recent
    recent.add(1031.0, "c")
    assert all(request_id in recent for request_id in "abc")
    recent.add(1062.0, "d")
    assert "a" not in recent and "b" not in recent and "c" in recent and "d" in recent


def test_never_more_ids_are_kept_than_the_maximum() -> None:
    recent = RecentIds(period=30.0, max_ids=100)
    for number in range(10_000):
        recent.add(1000.0, str(number))
        assert len(recent) <= 100
    assert "9999" in recent and "9950" in recent
