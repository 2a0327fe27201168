"""Events that are recorded only with real processes, besides those of `histories`."""

import msgspec

from ..histories.events import Event


class FaultBegan(Event):
    """A fault began; `targets` are processes or failure domains."""

    fault: str
    targets: tuple[str, ...]


class FaultEnded(Event):
    """A fault ended, or the process that it stopped is ready again."""

    fault: str
    targets: tuple[str, ...]


class CallThrough(Event):
    """A caller sent a request through an entry VM."""

    request_id: str
    entry_vm: str


class CallBroken(Event):
    """The connection of a request failed.

    `cause` is ``"unsent"`` without a connection, ``"timeout"``, or a description of
    the error. `answering` tells whether the status line had been read.
    """

    request_id: str
    entry_vm: str
    cause: str
    answering: bool


class GenerationAnswered(Event):
    """A caller read a generation to its end."""

    request_id: str
    prompt: str
    seed: int
    max_tokens: int
    text: str


class SegmentRead(msgspec.Struct, frozen=True):
    """Part of a sample with the weight version and engine that it names."""

    version: int
    tokens: int
    server: str


class SampleRead(Event):
    """A trainer accepted a sample for a slot."""

    trainer: str
    step: int
    slot: int
    prompt: str
    seed: int
    max_tokens: int
    text: str
    segments: tuple[SegmentRead, ...]


class StepFinished(Event):
    """A trainer's step ended; `missing` slots have neither a sample nor a failure."""

    trainer: str
    step: int
    missing: int
    elapsed_ms: float


class StreamCut(Event):
    """A trainer's stream through an entry VM ended without its last line."""

    trainer: str
    entry_vm: str
    opened_ms: float


class VersionProduced(Event):
    """An engine generated the tokens of a stream from `position` on with a version."""

    request_id: str
    prompt: str
    seed: int
    server: str
    incarnation: str
    position: int
    version: int


class ServerRan(Event):
    """A backend server started to run a request."""

    request_id: str
    server: str
    incarnation: str
    work: str


class ServerCrashed(Event):
    """A request crashed the process of the backend server that ran it."""

    request_id: str
    server: str
    incarnation: str
    work: str


class VersionLoaded(Event):
    """An engine loaded a version on an order with the fencing number `fence`."""

    server: str
    incarnation: str
    version: int
    fence: int


class LeavingSign(Event):
    """A sign that a backend server leaves appeared in its failure domain.

    `source` is ``"list"`` for the platform's VM list or ``"operator"``.
    """

    server: str
    failure_domain: str
    source: str


class LeavingEnded(Event):
    """A backend server no longer leaves: the sign was undone or the server replaced."""

    server: str


class ShutdownAsked(Event):
    """An entry VM was sent SIGTERM."""

    entry_vm: str


class ShutdownEnded(Event):
    """The process of an entry VM exited after SIGTERM."""

    entry_vm: str
    exit_code: int


class SheetApplied(Event):
    """An operator's sheet was accepted; the share `mark` identifies the sheet."""

    operator: str
    revision: int
    mark: float


class SheetLost(Event):
    """An operator's sheet was not confirmed; `status` 0 means no response."""

    operator: str
    status: int


class SheetStored(Event):
    """The sheet that the platform stores at the end of the run."""

    revision: int
    mark: float


class RevisionShown(Event):
    """An entry VM reported its revision in response to a request sent at `asked_ms`."""

    entry_vm: str
    failure_domain: str
    start: int
    lifecycle: str
    revision: int
    asked_ms: float


class Healed(Event):
    """All faults ended; within `limit_ms` everything must serve again."""

    limit_ms: float


class Recovered(Event):
    """Something served again after the faults, or still failed at the limit."""

    what: str
    elapsed_ms: float
    served: bool
    detail: str
