"""Checks of a run with real processes: those of `histories`, and the missing ones."""

from collections import defaultdict
from itertools import pairwise

from ..histories.checkers import (
    Violation,
    check_answers,
    check_delivery,
    check_not_run,
    check_runs,
    check_staleness,
)
from ..histories.events import CallSent, Event
from ..text import complete_text, count_tokens
from .events import (
    CallBroken,
    GenerationAnswered,
    LeavingEnded,
    LeavingSign,
    Recovered,
    SampleRead,
    ServerCrashed,
    ServerRan,
    ShutdownAsked,
    ShutdownEnded,
    StepFinished,
    StreamCut,
    VersionLoaded,
    VersionProduced,
)
from .intervals import Interval, fault_intervals, overlapping
from .revisions import check_in_force, check_monotone, check_race

LEAVING_LIMIT_MS = 3_000
GRACE_MS = 500  # `balancer_grace_ms` of the run; requests before its end are admitted
MOST_CRASHES = 2
# The users' platform judges a request that crashes servers from this time after a
# crash on (`Bounds.StableWindowMs` of both sites).
STABLE_WINDOW_MS = 4_000
PLATFORM_FAULTS = {
    "cut_platform",
    "platform_down",
    "platform_slow",
    "lagging_reads",
    "lost_answers",
}
STOPPED = {"kill_entry", "freeze_entry"}


def check_origins(events: list[Event]) -> list[Violation]:
    """P1: an engine produced each token of a sample with the version it names."""
    places: dict[tuple, list[VersionProduced]] = defaultdict(list)
    streams: dict[tuple, list[VersionProduced]] = defaultdict(list)
    for event in events:
        if isinstance(event, VersionProduced):
            stream = (event.request_id, event.server, event.incarnation)
            streams[stream].append(event)
            places[event.prompt, event.seed, event.server, event.version].append(event)
    ends: dict[int, int] = {}
    for produced in streams.values():
        for one, following in pairwise(produced):
            ends[id(one)] = following.position
    violations = []
    for event in events:
        if not isinstance(event, SampleRead):
            continue
        at = 0
        for part in event.segments:
            key = (event.prompt, event.seed, part.server, part.version)
            origins = [(e.position, ends.get(id(e), float("inf"))) for e in places[key]]
            for position in range(at, at + part.tokens):
                if not any(start <= position < end for start, end in origins):
                    cause = (
                        f"token {position} names version {part.version} of "
                        f"{part.server}, which did not produce it"
                    )
                    violations.append(Violation("P1", cause, (event,)))
                    break
            at += part.tokens
    return violations


def check_whole(events: list[Event]) -> list[Violation]:
    """P4: generations and samples are whole and belong to their own prompt."""
    violations = []
    for event in events:
        if isinstance(event, SampleRead):
            total = sum(part.tokens for part in event.segments)
            if total != count_tokens(event.text):
                cause = f"segments name {total} tokens"
                violations.append(Violation("P4", cause, (event,)))
        elif not isinstance(event, GenerationAnswered):
            continue
        if event.text != complete_text(event.prompt, event.seed, event.max_tokens):
            violations.append(Violation("P4", "text is not the whole answer", (event,)))
    return violations


def check_leaving_servers(events: list[Event]) -> list[Violation]:
    """P7: no run begins on a leaving server later than 3 s after the first sign.

    A sign on the VM list counts only while the platform shows it to the domain:
    signs with a platform fault in their first 3 s are not judged.
    """
    violations = []
    platform = [i for i in fault_intervals(events) if i.fault in PLATFORM_FAULTS]
    signs: dict[str, LeavingSign] = {}
    for event in events:
        if isinstance(event, LeavingSign):
            until = event.at_ms + LEAVING_LIMIT_MS
            if event.source == "operator" or not overlapping(
                platform, event.at_ms, until
            ):
                signs[event.server] = event
        elif isinstance(event, LeavingEnded):
            signs.pop(event.server, None)
        elif isinstance(event, ServerRan) and event.server in signs:
            sign = signs[event.server]
            late_ms = event.at_ms - sign.at_ms
            if late_ms > LEAVING_LIMIT_MS:
                cause = f"new work {late_ms:.0f} ms after the first sign"
                violations.append(Violation("P7", cause, (sign, event)))
    return violations


def check_shutdowns(events: list[Event]) -> list[Violation]:
    """P8: an entry VM that leaves gracefully cuts off no admitted request."""
    violations = []
    asked: dict[str, ShutdownAsked] = {}
    sent = {e.request_id: e for e in events if isinstance(e, CallSent)}
    for event in events:
        if isinstance(event, ShutdownAsked):
            asked[event.entry_vm] = event
        elif isinstance(event, ShutdownEnded):
            if event.exit_code != 0:
                cause = f"exit code {event.exit_code}"
                proof = (asked[event.entry_vm], event)
                violations.append(Violation("P8", cause, proof))
        if isinstance(event, CallBroken) and event.cause != "unsent":
            begin = sent[event.request_id].at_ms
            admitted = event.answering
        elif isinstance(event, StreamCut):
            begin, admitted = event.opened_ms, False
        else:
            continue
        signal = asked.get(event.entry_vm)
        if signal is None or stopped_later(events, signal, event):
            continue
        if admitted or begin < signal.at_ms + GRACE_MS:
            violations.append(Violation("P8", "cut off", (signal, event)))
    return violations


def stopped_later(events: list[Event], signal: ShutdownAsked, event: Event) -> bool:
    """Tell whether a fault rather than the shutdown can have broken a connection.

    The shutdown is over once its entry VM serves again.
    """
    for interval in fault_intervals(events):
        if signal.entry_vm not in interval.targets:
            continue
        if interval.fault in STOPPED and signal.at_ms < interval.end_ms < event.at_ms:
            return True
        if interval.fault.startswith("leave") and (
            interval.begin_ms <= signal.at_ms <= interval.end_ms < event.at_ms
        ):
            return True
        if interval.fault in STOPPED and interval.holds(event.at_ms):
            return True
    return False


def check_held(events: list[Event]) -> list[Violation]:
    """A request gets its answer by its deadline, unless its entry VM stopped."""
    violations = []
    sent = {e.request_id: e for e in events if isinstance(e, CallSent)}
    stops = [i for i in fault_intervals(events) if i.fault in STOPPED]
    for event in events:
        if not isinstance(event, CallBroken) or event.cause != "timeout":
            continue
        request = sent[event.request_id]
        own = [i for i in stops if event.entry_vm in i.targets]
        if not overlapping(own, request.at_ms, event.at_ms):
            cause = f"no answer after {event.at_ms - request.at_ms:.0f} ms"
            violations.append(Violation("deadline", cause, (request, event)))
    return violations


def check_crashes(events: list[Event]) -> list[Violation]:
    """One request crashes at most two backend servers.

    Copies that run on both sides of a cut at once cannot know of each other, so
    a crash on the other side counts from `STABLE_WINDOW_MS` on. While the
    platform fails as well, each side counts by itself; such requests are not
    judged.
    """
    intervals = fault_intervals(events)
    peers = [i for i in intervals if i.fault == "cut_peers"]
    platform = [i for i in intervals if i.fault in PLATFORM_FAULTS]
    crashes: dict[str, list[ServerCrashed]] = defaultdict(list)
    for event in events:
        if isinstance(event, ServerCrashed):
            crashes[event.work].append(event)
    violations = []
    for work, found in crashes.items():
        begin, end = found[0].at_ms, found[-1].at_ms
        cuts = overlapping(peers, begin, end)
        if cuts and overlapping(platform, begin, end):
            continue
        for at, crash in enumerate(found):
            known = [one for one in found[:at] if is_known(one, crash, cuts)]
            if len(known) >= MOST_CRASHES:
                cause = f"{work!r} crashed {len(known) + 1} servers"
                violations.append(Violation("crashes", cause, (*known, crash)))
    return violations


def is_known(
    earlier: ServerCrashed, later: ServerCrashed, cuts: list[Interval]
) -> bool:
    """Tell whether the VM behind the later crash could know of the earlier one."""
    if later.at_ms - earlier.at_ms > STABLE_WINDOW_MS:
        return True
    return not any(
        cut.holds(earlier.at_ms) and beyond(cut, earlier) != beyond(cut, later)
        for cut in cuts
    )


def beyond(cut: Interval, crash: ServerCrashed) -> bool:
    """Tell whether a server stands in the failure domain that is cut off."""
    return any(f"-{domain}-" in crash.server for domain in cut.targets)


def check_steps(events: list[Event]) -> list[Violation]:
    """P3: each step is complete within the trainer's limit, which faults outlast."""
    return [
        Violation("P3", f"{event.missing} slots without a sample", (event,))
        for event in events
        if isinstance(event, StepFinished) and event.missing
    ]


def check_orders(events: list[Event]) -> list[Violation]:
    """An engine never goes back to an older version, whoever orders it."""
    violations = []
    newest: dict[tuple[str, str], VersionLoaded] = {}
    for event in events:
        if not isinstance(event, VersionLoaded):
            continue
        before = newest.setdefault((event.server, event.incarnation), event)
        if event.version < before.version:
            cause = f"{event.server} went back to version {event.version}"
            violations.append(Violation("weights", cause, (before, event)))
        newest[event.server, event.incarnation] = event
    return violations


def check_recovered(events: list[Event]) -> list[Violation]:
    """After all faults ended, everything serves again within the stated time."""
    return [
        Violation("recovery", f"{event.what}: {event.detail}", (event,))
        for event in events
        if isinstance(event, Recovered) and not event.served
    ]


CHECKERS = {
    "P1": check_origins,
    "P2": check_staleness,
    "P3": check_delivery,
    "P3 steps": check_steps,
    "P4 bookings": check_answers,
    "P4 generations": check_whole,
    "P5": check_not_run,
    "P6": check_runs,
    "P7": check_leaving_servers,
    "P8": check_shutdowns,
    "P9 in force": check_in_force,
    "P9 never lower": check_monotone,
    "P9 race": check_race,
    "crash bound": check_crashes,
    "weight orders": check_orders,
    "deadline": check_held,
    "recovery": check_recovered,
}


def check_run(events: list[Event]) -> list[Violation]:
    """Run every checker over the events of a run, which are in order of time."""
    return [v for checker in CHECKERS.values() for v in checker(events)]
