"""Checkers of a run with real processes, partly those of `histories`."""

from collections import defaultdict
from itertools import pairwise

from ..histories.checkers import (
    Violation,
    check_delivery,
    check_not_run,
    check_responses,
    check_single_runs,
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
from .revision_checkers import check_in_force, check_monotone, check_race

LEAVING_LIMIT_MS = 3_000
# `balancer_grace_ms` of the run; a leaving entry VM admits requests until it is over.
BALANCER_GRACE_MS = 500
MAX_CRASHES = 2
# The users' platform checks a request that crashes servers only from this time after
# a crash on (`Bounds.StableWindowMs` of both sites).
STABLE_WINDOW_MS = 4_000
PLATFORM_FAULTS = {
    "cut_platform",
    "platform_down",
    "platform_slow",
    "lagging_reads",
    "lost_answers",
}
PROCESS_STOP_FAULTS = {"kill_entry", "freeze_entry"}


def check_token_origins(events: list[Event]) -> list[Violation]:
    """P1: each token of a sample was generated with the version that it names."""
    productions: dict[tuple, list[VersionProduced]] = defaultdict(list)
    streams: dict[tuple, list[VersionProduced]] = defaultdict(list)
    for event in events:
        if isinstance(event, VersionProduced):
            stream = (event.request_id, event.server, event.incarnation)
            streams[stream].append(event)
            productions[event.prompt, event.seed, event.server, event.version].append(
                event
            )
    end_positions: dict[int, int] = {}
    for produced in streams.values():
        for produced_tokens, following in pairwise(produced):
            end_positions[id(produced_tokens)] = following.position
    violations = []
    for event in events:
        if not isinstance(event, SampleRead):
            continue
        first_position = 0
        for segment in event.segments:
            key = (event.prompt, event.seed, segment.server, segment.version)
            origins = [
                (e.position, end_positions.get(id(e), float("inf")))
                for e in productions[key]
            ]
            for position in range(first_position, first_position + segment.tokens):
                if not any(start <= position < end for start, end in origins):
                    cause = (
                        f"token {position} names version {segment.version} of "
                        f"{segment.server}, which did not generate it"
                    )
                    violations.append(Violation("P1", cause, (event,)))
                    break
            first_position += segment.tokens
    return violations


def check_generated_texts(events: list[Event]) -> list[Violation]:
    """P4: generations and samples are complete and belong to their own prompt."""
    violations = []
    for event in events:
        if isinstance(event, SampleRead):
            total = sum(segment.tokens for segment in event.segments)
            if total != count_tokens(event.text):
                cause = f"segments name {total} tokens, unlike the text"
                violations.append(Violation("P4", cause, (event,)))
        elif not isinstance(event, GenerationAnswered):
            continue
        if event.text != complete_text(event.prompt, event.seed, event.max_tokens):
            violations.append(
                Violation("P4", "text is not the complete generation", (event,))
            )
    return violations


def check_leaving_servers(events: list[Event]) -> list[Violation]:
    """P7: no run starts on a leaving server later than 3 s after the first sign.

    A sign on the VM list counts only if the failure domain can read the list. Signs
    with a platform fault in their first 3 s are therefore skipped.
    """
    violations = []
    platform_faults = [i for i in fault_intervals(events) if i.fault in PLATFORM_FAULTS]
    signs: dict[str, LeavingSign] = {}
    for event in events:
        if isinstance(event, LeavingSign):
            limit_end_ms = event.at_ms + LEAVING_LIMIT_MS
            if event.source == "operator" or not overlapping(
                platform_faults, event.at_ms, limit_end_ms
            ):
                signs[event.server] = event
        elif isinstance(event, LeavingEnded):
            signs.pop(event.server, None)
        elif isinstance(event, ServerRan) and event.server in signs:
            sign = signs[event.server]
            late_ms = event.at_ms - sign.at_ms
            if late_ms > LEAVING_LIMIT_MS:
                cause = f"run started {late_ms:.0f} ms after the first sign of leaving"
                violations.append(Violation("P7", cause, (sign, event)))
    return violations


def check_shutdowns(events: list[Event]) -> list[Violation]:
    """P8: an entry VM that shuts down gracefully cuts off no admitted request."""
    violations = []
    signals: dict[str, ShutdownAsked] = {}
    sent = {e.request_id: e for e in events if isinstance(e, CallSent)}
    for event in events:
        if isinstance(event, ShutdownAsked):
            signals[event.entry_vm] = event
        elif isinstance(event, ShutdownEnded):
            if event.exit_code != 0:
                cause = f"entry VM exited with code {event.exit_code} after SIGTERM"
                proof = (signals[event.entry_vm], event)
                violations.append(Violation("P8", cause, proof))
        if isinstance(event, CallBroken) and event.cause != "unsent":
            begin_ms = sent[event.request_id].at_ms
            admitted = event.answering
        elif isinstance(event, StreamCut):
            begin_ms, admitted = event.opened_ms, False
        else:
            continue
        signal = signals.get(event.entry_vm)
        if signal is None or is_explained_by_fault(events, signal, event):
            continue
        if admitted or begin_ms < signal.at_ms + BALANCER_GRACE_MS:
            violations.append(
                Violation("P8", "admitted request was cut off", (signal, event))
            )
    return violations


def is_explained_by_fault(
    events: list[Event], signal: ShutdownAsked, event: Event
) -> bool:
    """Return whether a fault can have broken a connection instead of the shutdown.

    This also holds once the entry VM serves again, as the shutdown is then over.
    """
    for interval in fault_intervals(events):
        if signal.entry_vm not in interval.targets:
            continue
        if (
            interval.fault in PROCESS_STOP_FAULTS
            and signal.at_ms < interval.end_ms < event.at_ms
        ):
            return True
        if interval.fault.startswith("leave") and (
            interval.begin_ms <= signal.at_ms <= interval.end_ms < event.at_ms
        ):
            return True
        if interval.fault in PROCESS_STOP_FAULTS and interval.is_active_at(event.at_ms):
            return True
    return False


def check_deadlines(events: list[Event]) -> list[Violation]:
    """A request gets a response by its deadline unless its entry VM was stopped."""
    violations = []
    sent = {e.request_id: e for e in events if isinstance(e, CallSent)}
    stops = [i for i in fault_intervals(events) if i.fault in PROCESS_STOP_FAULTS]
    for event in events:
        if not isinstance(event, CallBroken) or event.cause != "timeout":
            continue
        request = sent[event.request_id]
        own_stops = [i for i in stops if event.entry_vm in i.targets]
        if not overlapping(own_stops, request.at_ms, event.at_ms):
            cause = f"no response after {event.at_ms - request.at_ms:.0f} ms"
            violations.append(Violation("deadline", cause, (request, event)))
    return violations


def check_crashes(events: list[Event]) -> list[Violation]:
    """One request crashes at most two backend servers.

    The two sides of a network cut cannot tell each other about a crash, so a crash
    on the other side counts only after `STABLE_WINDOW_MS`. While the platform fails
    as well, each side counts only its own crashes; requests of such a time are
    skipped.
    """
    intervals = fault_intervals(events)
    peer_cuts = [i for i in intervals if i.fault == "cut_peers"]
    platform_faults = [i for i in intervals if i.fault in PLATFORM_FAULTS]
    crashes: dict[str, list[ServerCrashed]] = defaultdict(list)
    for event in events:
        if isinstance(event, ServerCrashed):
            crashes[event.work].append(event)
    violations = []
    for work, work_crashes in crashes.items():
        begin_ms, end_ms = work_crashes[0].at_ms, work_crashes[-1].at_ms
        active_cuts = overlapping(peer_cuts, begin_ms, end_ms)
        if active_cuts and overlapping(platform_faults, begin_ms, end_ms):
            continue
        for index, crash in enumerate(work_crashes):
            known_crashes = [
                earlier
                for earlier in work_crashes[:index]
                if is_crash_known(earlier, crash, active_cuts)
            ]
            if len(known_crashes) >= MAX_CRASHES:
                cause = f"{work!r} crashed {len(known_crashes) + 1} backend servers"
                violations.append(Violation("crashes", cause, (*known_crashes, crash)))
    return violations


def is_crash_known(
    earlier: ServerCrashed, later: ServerCrashed, cuts: list[Interval]
) -> bool:
    """Return whether the entry VM of the later crash can know of the earlier one."""
    if later.at_ms - earlier.at_ms > STABLE_WINDOW_MS:
        return True
    return not any(
        cut.is_active_at(earlier.at_ms)
        and is_in_cut_domain(cut, earlier) != is_in_cut_domain(cut, later)
        for cut in cuts
    )


def is_in_cut_domain(cut: Interval, crash: ServerCrashed) -> bool:
    """Return whether the crashed server is in the failure domain that is cut off."""
    return any(f"-{domain}-" in crash.server for domain in cut.targets)


def check_step_completeness(events: list[Event]) -> list[Violation]:
    """P3: each step is complete within the trainer's limit, which outlasts faults."""
    return [
        Violation("P3", f"{event.missing} slots without a sample", (event,))
        for event in events
        if isinstance(event, StepFinished) and event.missing
    ]


def check_weight_orders(events: list[Event]) -> list[Violation]:
    """An engine process never goes back to an older version, whoever orders it."""
    violations = []
    newest: dict[tuple[str, str], VersionLoaded] = {}
    for event in events:
        if not isinstance(event, VersionLoaded):
            continue
        previous = newest.setdefault((event.server, event.incarnation), event)
        if event.version < previous.version:
            cause = f"{event.server} went back to version {event.version}"
            violations.append(Violation("weights", cause, (previous, event)))
        newest[event.server, event.incarnation] = event
    return violations


def check_recovery_limit(events: list[Event]) -> list[Violation]:
    """Everything serves again within the recovery limit after the last fault."""
    return [
        Violation("recovery", f"{event.what}: {event.detail}", (event,))
        for event in events
        if isinstance(event, Recovered) and not event.served
    ]


CHECKERS = {
    "P1": check_token_origins,
    "P2": check_staleness,
    "P3": check_delivery,
    "P3 steps": check_step_completeness,
    "P4 bookings": check_responses,
    "P4 generations": check_generated_texts,
    "P5": check_not_run,
    "P6": check_single_runs,
    "P7": check_leaving_servers,
    "P8": check_shutdowns,
    "P9 in force": check_in_force,
    "P9 never lower": check_monotone,
    "P9 race": check_race,
    "crash bound": check_crashes,
    "weight orders": check_weight_orders,
    "deadline": check_deadlines,
    "recovery": check_recovery_limit,
}


def check_run(events: list[Event]) -> list[Violation]:
    """Return the violations that all checkers find in events sorted by time."""
    return [v for checker in CHECKERS.values() for v in checker(events)]
