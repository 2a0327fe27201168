"""Whole history of a run: what the clients saw and what the servers recorded."""

import re

from ..histories.events import CallRan, CallSent, Event
from ..records import RunEvent
from .events import ServerCrashed, ServerRan, VersionLoaded, VersionProduced
from .recorder import Recorder

ATTEMPT = re.compile(r"(\.\d+)+$")


def add_records(recorder: Recorder, records: list[RunEvent]) -> list[Event]:
    """Add the records of backend servers and return all events by time.

    A server names an attempt; the request that it belongs to is the same without
    the numbers after it.
    """
    sent = {e.request_id: e for e in recorder.events if isinstance(e, CallSent)}
    for run in records:
        request_id = ATTEMPT.sub("", run.request_id)
        place = (run.server, run.incarnation)
        if run.kind == "tokens":
            recorder.note(
                VersionProduced,
                run.request_id,
                run.work,
                run.seed,
                *place,
                run.position,
                run.version,
                at_ms=run.at_ms,
            )
            continue
        if run.kind == "order":
            loaded = (run.version, run.position)
            recorder.note(VersionLoaded, *place, *loaded, at_ms=run.at_ms)
            continue
        kind = ServerCrashed if run.kind == "crash" else ServerRan
        recorder.note(kind, run.request_id, *place, run.work, at_ms=run.at_ms)
        if kind is ServerRan and request_id in sent:
            request = sent[request_id]
            answer = f"{run.request_id}@{run.server}"
            recorder.note(
                CallRan,
                request.party,
                request_id,
                request.body,
                answer,
                at_ms=run.at_ms,
            )
    return recorder.ordered()
