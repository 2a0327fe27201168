"""Checker of the users' rule RECOVER over all entry VMs.

While some entry VMs are cut off from all backend servers, from `STABLE_WINDOW_MS` after
the cut began, callers' first tries at these are served no less than two thirds as often
as those at the others, or no more than 10 + 1 in 50 of all first tries fail there.

``python -m ebonylb_standins.site.recover_rule LOG`` checks a run of the users' bench:
its log lines, and the cuts among its events. The bench names at most four of the entry
VMs of a cut. The others are those that say in their log that they reach no server, and
those given with ``VM ...`` after LOG.
"""

import json
import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field

STABLE_WINDOW_MS = 4_000.0
MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
CUT_LINE = re.compile(
    r"\s*(?P<begin>[\d.]+) s to +(?P<end>[\d.]+) s +"
    r"node_cut \(stranded[^)]*\) (?P<vms>.*)"
)
SUCCESS_STATUSES = range(200, 300)
ENDINGS = ("request ended", "request refused", "request abandoned by its caller")
# Neither a failure of the service nor owed: a request without a route.
NOT_OWED_STATUSES = (404,)


@dataclass(frozen=True, slots=True)
class FirstTry:
    """First try of a caller at an entry VM; `at_ms` is the time of its arrival."""

    at_ms: float
    entry_vm: str
    served: bool


@dataclass(slots=True)
class Cut:
    """Time during which some entry VMs are cut off from all backend servers.

    Attributes
    ----------
    all_named : bool
        Whether `entry_vms` is complete.
    """

    begin_ms: float
    end_ms: float
    entry_vms: set[str]
    all_named: bool = True

    def judges(self, first_try: FirstTry) -> bool:
        """Return whether a first try falls into the time that the rule is about."""
        return self.begin_ms + STABLE_WINDOW_MS <= first_try.at_ms < self.end_ms


@dataclass(slots=True)
class Service:
    """Counts of first tries at some entry VMs."""

    tries: int = 0
    served: int = 0

    @property
    def failed(self) -> int:
        """Number of first tries that were not served."""
        return self.tries - self.served

    @property
    def share(self) -> float:
        """Share of first tries that were served; 1 without any."""
        return self.served / self.tries if self.tries else 1.0


@dataclass(slots=True)
class Judgement:
    """How callers were served during a cut, at the entry VMs cut off and elsewhere."""

    cut: Cut
    inside: Service = field(default_factory=Service)
    outside: Service = field(default_factory=Service)

    @property
    def max_failed(self) -> float:
        """Number of failures at entry VMs cut off that the rule allows."""
        tries = self.inside.tries + self.outside.tries
        return MAX_FAILED + MAX_FAILED_SHARE * tries

    @property
    def is_broken(self) -> bool:
        """Whether the rule is broken."""
        return (
            self.inside.share < MIN_RELATIVE_SHARE * self.outside.share
            and self.inside.failed > self.max_failed
        )


def judge(cut: Cut, tries: Iterable[FirstTry]) -> Judgement:
    """Return how the first tries during a cut were served."""
    judgement = Judgement(cut)
    for first_try in tries:
        if cut.judges(first_try):
            is_inside = first_try.entry_vm in cut.entry_vms
            service = judgement.inside if is_inside else judgement.outside
            service.tries += 1
            service.served += first_try.served
    return judgement


def read_log(lines: Iterable[str]) -> tuple[list[Cut], list[FirstTry]]:
    """Read cuts and first tries from the output of a run with all logs."""
    cuts: list[Cut] = []
    tries: list[FirstTry] = []
    said_cut_off: list[tuple[float, str]] = []
    for line in lines:
        if match := CUT_LINE.match(line):
            named, more = re.subn(r" and \d+ more\s*$", "", match["vms"])
            entry_vms = {name.strip() for name in named.split(",")}
            begin_ms, end_ms = float(match["begin"]) * 1000, float(match["end"]) * 1000
            cuts.append(Cut(begin_ms, end_ms, entry_vms, all_named=not more))
            continue
        head, brace, rest = line.partition("{")
        fields = head.split()
        if not brace or len(fields) != 2:
            continue
        try:
            at_ms, record = float(fields[0]) * 1000, json.loads(brace + rest)
        except ValueError:
            continue
        message, status = record.get("message"), record.get("status")
        if message == "no backend server is reachable":
            said_cut_off.append((at_ms, fields[1]))
        if message in ENDINGS and status not in NOT_OWED_STATUSES:
            began_ms = at_ms - record.get("elapsed_ms", 0.0)
            tries.append(FirstTry(began_ms, fields[1], status in SUCCESS_STATUSES))
    for cut in cuts:
        if not cut.all_named:
            cut.entry_vms.update(
                vm for at_ms, vm in said_cut_off if cut.begin_ms <= at_ms < cut.end_ms
            )
    return cuts, tries


def main() -> None:
    """Print how callers were served in each cut; fail if the rule is broken."""
    with open(sys.argv[1], encoding="utf-8", errors="replace") as log:
        cuts, tries = read_log(log)
    broken = False
    for cut in cuts:
        if not cut.all_named:
            cut.entry_vms.update(sys.argv[2:])
        result = judge(cut, tries)
        broken |= result.is_broken
        inside, outside = result.inside, result.outside
        print(
            f"{cut.begin_ms / 1000:.1f} to {cut.end_ms / 1000:.1f} s, "
            f"{len(cut.entry_vms)} entry VMs cut off: served {inside.served} of "
            f"{inside.tries} there, {outside.served} of {outside.tries} elsewhere, "
            f"{result.max_failed:.1f} failures allowed"
            f"{', RECOVER BROKEN' if result.is_broken else ''}"
        )
    sys.exit(broken)


if __name__ == "__main__":
    main()
