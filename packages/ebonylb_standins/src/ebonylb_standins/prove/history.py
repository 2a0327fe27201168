"""Merging of what clients and backend servers recorded into one history."""

import re

from ..histories.events import CallRan, CallSent, Event
from ..records import RunEvent
from .events import ServerCrashed, ServerRan, VersionLoaded, VersionProduced
from .recorder import Recorder

ATTEMPT_SUFFIX = re.compile(r"(\.\d+)+$")


def add_records(recorder: Recorder, records: list[RunEvent]) -> list[Event]:
    """Add the records of backend servers and return all events sorted by time.

    A server records the id of an attempt, which is the id of the caller's request
    with numbers appended.
    """
    sent = {e.request_id: e for e in recorder.events if isinstance(e, CallSent)}
    for run in records:
        request_id = ATTEMPT_SUFFIX.sub("", run.request_id)
        server_run = (run.server, run.incarnation)
        if run.kind == "tokens":
            recorder.record(
                VersionProduced,
                run.request_id,
                run.work,
                run.seed,
                *server_run,
                run.position,
                run.version,
                at_ms=run.at_ms,
            )
            continue
        if run.kind == "order":
            loaded = (run.version, run.position)
            recorder.record(VersionLoaded, *server_run, *loaded, at_ms=run.at_ms)
            continue
        kind = ServerCrashed if run.kind == "crash" else ServerRan
        recorder.record(kind, run.request_id, *server_run, run.work, at_ms=run.at_ms)
        if kind is ServerRan and request_id in sent:
            request = sent[request_id]
            response = f"{run.request_id}@{run.server}"
            recorder.record(
                CallRan,
                request.party,
                request_id,
                request.body,
                response,
                at_ms=run.at_ms,
            )
    return recorder.sorted_events()
