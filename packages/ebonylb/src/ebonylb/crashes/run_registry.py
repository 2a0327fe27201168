"""Registry of running requests, which limits concurrent runs of suspected ones."""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable

MAX_COMPLETED_FINGERPRINTS = 10_000  # about 1.5 MB


class RunRegistry:
    """Runs in progress on this entry VM, by fingerprint and by server.

    Two rules ensure that one request crashes at most two servers and that no other
    requests are refused because of it:

    - A fingerprint runs on one server at a time, so that concurrent copies can't crash
      several servers before the first strike counts, nor cause two strikes against the
      same bystanders. A hedge may add a second server.
    - A fingerprint with a strike has one run at a time and doesn't share its server
      with another one that has a strike, so that a crash has one suspect.

    The first rule doesn't apply to a fingerprint that has completed and has no strike,
    because a request that crashes each server that runs it never completes.

    Parameters
    ----------
    strikes : callable
        Returns the number of strikes of a fingerprint.
    max_strikes : int
        Number of strikes from which a fingerprint must not run.
    """

    def __init__(self, strikes: Callable[[str], int], max_strikes: int = 2) -> None:
        self.strikes = strikes
        self.max_strikes = max_strikes
        self.by_fingerprint: dict[str, Counter[str]] = {}
        self.by_server: dict[str, Counter[str]] = defaultdict(Counter)
        self.completed_fingerprints: OrderedDict[str, None] = OrderedDict()

    def can_run(self, fingerprint: str, server: str, is_hedge: bool = False) -> bool:
        """Return whether a run or a hedge may start on a server now."""
        strikes = self.strikes(fingerprint)
        if strikes >= self.max_strikes:
            return False
        runs = self.by_fingerprint.get(fingerprint)
        if strikes == 0:
            if (
                runs is None
                or server in runs
                or fingerprint in self.completed_fingerprints
            ):
                return True
            return is_hedge and len(runs) < self.max_strikes
        if runs:
            return False
        return not any(self.strikes(other) for other in self.by_server[server])

    def begin(self, fingerprint: str, server: str) -> None:
        """Record the start of a run."""
        self.by_fingerprint.setdefault(fingerprint, Counter())[server] += 1
        self.by_server[server][fingerprint] += 1

    def end(self, fingerprint: str, server: str, completed: bool) -> None:
        """Record the end of a run; `completed` means a complete response."""
        runs = self.by_fingerprint[fingerprint]
        runs[server] -= 1
        if not runs[server]:
            del runs[server]
        if not runs:
            del self.by_fingerprint[fingerprint]
        server_runs = self.by_server[server]
        server_runs[fingerprint] -= 1
        if not server_runs[fingerprint]:
            del server_runs[fingerprint]
        if not server_runs:
            del self.by_server[server]
        if completed:
            self.completed_fingerprints[fingerprint] = None
            self.completed_fingerprints.move_to_end(fingerprint)
            if len(self.completed_fingerprints) > MAX_COMPLETED_FINGERPRINTS:
                self.completed_fingerprints.popitem(last=False)
