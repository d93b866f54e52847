"""The ids of requests that may have run lately and must not run again."""

from __future__ import annotations


class RecentIds:
    """Remembers ids for at least `period` seconds, unless more than `max_ids` come in that time.

    The ids are in two generations. The newer one becomes the older, and the older is forgotten, once it is a
    period old or holds half of the maximum.
    """

    def __init__(self, period: float, max_ids: int) -> None:
        self.period, self.max_ids = period, max_ids
        self._newer, self._older = set[str](), set[str]()
        self._began_at = 0.0  # s: of the newer generation

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._newer or request_id in self._older

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def add(self, now: float, request_id: str) -> None:
        """Remembers an id from now on; `now` is in seconds and never goes back."""
        if now - self._began_at >= self.period or len(self._newer) >= self.max_ids // 2:
            self._newer, self._older = set(), self._newer
            self._began_at = now
        self._newer.add(request_id)
