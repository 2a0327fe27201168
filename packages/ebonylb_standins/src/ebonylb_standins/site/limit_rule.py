"""Checker of the users' rule LIMIT over all entry VMs.

A server that names a limit gets at most one and a half times what it allows in any 4 s,
and 5 requests more, once the limit is `STABLE_WINDOW_MS` old. Requests count that entry
VMs send half a second or more after the server has named the limit to them.

``python -m ebonylb_standins.site.limit_rule LOG`` checks the log lines of a run.
"""

import bisect
import json
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

STABLE_WINDOW_MS = 4_000.0
WINDOW_MS = 4_000.0
SHARE_OF_LIMIT, EXTRA_REQUESTS = 1.5, 5
NOTICE_MS = 500.0


@dataclass(frozen=True, slots=True)
class Sighting:
    """Response of a server to an entry VM; `requests_per_s` is None without a limit."""

    at_ms: float
    server: str
    entry_vm: str
    requests_per_s: float | None


@dataclass(frozen=True, slots=True)
class Sending:
    """Request of any kind that an entry VM sent to a server."""

    at_ms: float
    server: str
    entry_vm: str


@dataclass(frozen=True, slots=True)
class BusiestWindow:
    """The 4 s in which a limited server got the most, and what was allowed."""

    server: str
    requests_per_s: float
    begin_ms: float
    count: int

    @property
    def allowed(self) -> float:
        """Largest count that the rule allows."""
        return SHARE_OF_LIMIT * self.requests_per_s * WINDOW_MS / 1000 + EXTRA_REQUESTS

    @property
    def is_excess(self) -> bool:
        """Whether the rule is broken."""
        return self.count > self.allowed


def find_busiest_windows(
    sightings: Iterable[Sighting], sendings: Iterable[Sending]
) -> list[BusiestWindow]:
    """Return the busiest window of each limited server, fullest first."""
    seen_by_server = defaultdict(list)
    for sighting in sorted(sightings, key=lambda s: s.at_ms):
        seen_by_server[sighting.server].append(sighting)
    sent_by_server = defaultdict(list)
    for sending in sorted(sendings, key=lambda s: s.at_ms):
        sent_by_server[sending.server].append(sending)
    busiest = [
        window
        for server, seen in seen_by_server.items()
        if (window := find_busiest_window(seen, sent_by_server[server])) is not None
    ]
    return sorted(busiest, key=lambda window: window.count - window.allowed)[::-1]


def find_busiest_window(
    sightings: list[Sighting], sendings: list[Sending]
) -> BusiestWindow | None:
    """Return the busiest window of one server; None if it never named a limit."""
    named = [s for s in sightings if s.requests_per_s is not None]
    if not named:
        return None
    begin_ms = named[0].at_ms
    withdrawn = [
        s.at_ms for s in sightings if s.requests_per_s is None and s.at_ms > begin_ms
    ]
    end_ms = min(withdrawn, default=float("inf"))
    requests_per_s = max(s.requests_per_s for s in named)
    noticed_ms: dict[str, float] = {}
    for sighting in named:
        noticed_ms.setdefault(sighting.entry_vm, sighting.at_ms + NOTICE_MS)
    counted_ms = [
        s.at_ms
        for s in sendings
        if begin_ms + STABLE_WINDOW_MS <= s.at_ms < end_ms
        and s.at_ms >= noticed_ms.get(s.entry_vm, float("inf"))
    ]
    best = BusiestWindow(named[0].server, requests_per_s, begin_ms, 0)
    for first, start_ms in enumerate(counted_ms):
        count = bisect.bisect_right(counted_ms, start_ms + WINDOW_MS) - first
        if count > best.count:
            best = BusiestWindow(named[0].server, requests_per_s, start_ms, count)
    return best


def read_log(lines: Iterable[str]) -> Iterator[Sighting | Sending]:
    """Read sightings and sendings from lines of ``SECONDS ENTRY_VM {JSON}``."""
    for line in lines:
        head, brace, rest = line.partition("{")
        fields = head.split()
        if not brace or len(fields) != 2:
            continue
        try:
            at_ms, record = float(fields[0]) * 1000, json.loads(brace + rest)
        except ValueError:
            continue
        entry_vm, message = fields[1], record.get("message")
        if message == "backend server names a limit":
            yield Sighting(at_ms, record["server"], entry_vm, record["requests_per_s"])
        elif message == "backend server has no limit any more":
            yield Sighting(at_ms, record["server"], entry_vm, None)
        elif message == "requests sent to a limited server":
            for age_ms in record["ages_ms"]:
                yield Sending(at_ms - age_ms, record["server"], entry_vm)


def main() -> None:
    """Print the busiest window of each limited server in a log; fail on excess."""
    with open(sys.argv[1], encoding="utf-8", errors="replace") as log:
        entries = list(read_log(log))
    windows = find_busiest_windows(
        [e for e in entries if isinstance(e, Sighting)],
        [e for e in entries if isinstance(e, Sending)],
    )
    for window in windows:
        print(
            f"{window.server}: {window.count} requests in 4 s from "
            f"{window.begin_ms / 1000:.1f} s, {window.allowed:.1f} allowed at "
            f"{window.requests_per_s:g} a second"
            f"{', LIMIT BROKEN' if window.is_excess else ''}"
        )
    sys.exit(any(window.is_excess for window in windows))


if __name__ == "__main__":
    main()
