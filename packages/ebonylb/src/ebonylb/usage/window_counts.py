"""Requests that servers began, by window and customer."""

# A request id is remembered for at least this long. Copies and retries of a request
# end within its deadline, which is shorter.
ID_RETENTION_MS = 30_000.0


class WindowCounts:
    """Counts each request once, in the window in which a server first began it.

    Parameters
    ----------
    window_ms : float
        Length of a window; window k begins k times this after the start of 1970.

    Attributes
    ----------
    counts : dict of int to dict of str to int
        Number of requests by window and customer.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.counts: dict[int, dict[str, int]] = {}
        self.recent_ids: set[str] = set()
        self.older_ids: set[str] = set()
        self.period = 0

    def window_of(self, true_ms: float) -> int:
        """Return the window of a time since the start of 1970."""
        return int(true_ms // self.window_ms)

    def end_ms(self, window: int) -> float:
        """Return the end of a window, since the start of 1970."""
        return (window + 1) * self.window_ms

    def begin(self, request_id: str, customer: str, begun_ms: float) -> bool:
        """Count a request that a server began; return False for a further beginning.

        Parameters
        ----------
        request_id : str
            Id of the caller's request; one without an id counts each time.
        begun_ms : float
            True time of the beginning, since the start of 1970.
        """
        self.forget_old_ids(begun_ms)
        if request_id in self.recent_ids or request_id in self.older_ids:
            return False
        if request_id:
            self.recent_ids.add(request_id)
        counts = self.counts.setdefault(self.window_of(begun_ms), {})
        counts[customer] = counts.get(customer, 0) + 1
        return True

    def forget_old_ids(self, now_ms: float) -> None:
        """Forget the ids of the period before the last one."""
        period = int(now_ms // ID_RETENTION_MS)
        if period <= self.period:
            return
        follows = period == self.period + 1
        self.older_ids = self.recent_ids if follows else set()
        self.recent_ids = set()
        self.period = period

    def drop(self, window: int) -> None:
        """Forget the counts of a window."""
        self.counts.pop(window, None)
