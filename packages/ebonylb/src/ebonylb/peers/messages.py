"""Messages between entry VMs, encoded as tagged msgpack structs."""

import msgspec


class Message(msgspec.Struct, tag=True, omit_defaults=True, array_like=True):
    """Base class of messages, encoded as arrays to keep heartbeats small."""


class Done(Message):
    """Reply of a handler that returned nothing."""


class Failed(Message):
    """Reply of a receiver that failed to handle a message."""

    step: str
    message: str


class ShardDigest(Message, tag="s"):
    """Load of one owned shard.

    `queued_tokens` is the predicted number of queued tokens; `tokens_per_s` is the
    measured drain rate; `free` is the number of requests that still fit the window.
    """

    service: str
    shard: int
    queued_tokens: int
    tokens_per_s: int
    free: int
    servers: int


class Heartbeat(Message, tag="h"):
    """Heartbeat of an entry VM, with the state that peers use for routing and sharing.

    `served` maps parties to the tokens served by the sender's shards since its start;
    `backlogged` lists the parties that have work queued there. `sequence` increases
    with each heartbeat of an incarnation. `age_ms` is the time since the heartbeat was
    created, as far as the relays know. An empty `address` means a delta: the location
    is omitted, `incarnation` holds only its last 8 characters, and `shards` and
    `served` list only changes.
    """

    entry_vm: str
    incarnation: str
    address: str
    failure_domain: str
    region: str
    revision: int
    lifecycle: str
    shards: list[ShardDigest] = []
    served: dict[str, int] = {}
    backlogged: list[str] = []
    sequence: int = 0
    age_ms: int = 0


class Digests(Message):
    """Latest heartbeats known to the sender, exchanged between failure domains."""

    heartbeats: list[Heartbeat] = []


class ForwardGenerate(Message):
    """Generation sent to a shard owner; the reply is a stream of chunks."""

    request_id: str
    party: str
    service: str
    shard: int
    prompt: str
    max_tokens: int
    seed: int
    generated: str
    deadline_ms: float
    group: str = ""
    min_version: int = 0
    strikes: int = 0
    exclude: list[str] = []
    idempotent: bool = True


class ForwardCall(Message):
    """Plain-service call sent to a shard owner."""

    request_id: str
    party: str
    service: str
    shard: int
    body: bytes
    content_type: str
    idempotent: bool
    deadline_ms: float
    strikes: int = 0
    exclude: list[str] = []


class AnswerChunk(Message):
    """Chunk of the reply to a forwarded generation."""

    text: str
    tokens: int
    version: int
    server: str


class AnswerEnd(Message):
    """End marker of a complete stream, with the number of tokens in this stream."""

    tokens: int


class AnswerCall(Message):
    """Complete response of a plain-service call."""

    status: int
    body: bytes
    content_type: str
    server: str


class Refused(Message):
    """Refusal of forwarded work; `retry_after_ms` of -1 means none."""

    outcome: str
    reason: str
    message: str
    retry_after_ms: int = -1


class FetchConfiguration(Message):
    """Request for a peer's configuration."""


class ConfigurationUpdate(Message):
    """Configuration revision with its sheet as JSON; revision 0 means none."""

    revision: int
    sheet: bytes = b""
    author: str = ""
    write_id: str = ""


class ServerMark(Message):
    """Mark on a backend server; a higher number replaces a lower one."""

    server: str
    incarnation: str
    number: int
    reason: str
    leaving: bool


class MarksQuery(Message):
    """Request for all marks; the reply is a stream of `ServerMark`."""


class StrikeReport(Message):
    """Fingerprints of the requests that ran on a server when it crashed.

    With `relay`, the receiver forwards it to its failure domain before it replies.
    """

    crash_id: str
    fingerprints: list[str]
    relay: bool = False


class RunCall(Message):
    """Call with an issued key, forwarded to the entry VM that issued the key."""

    request_id: str
    party: str
    service: str
    key: str
    body: bytes
    content_type: str
    deadline_ms: float


class AwaitCall(Message):
    """Request to the holder of a claim for the recorded response of its call."""

    party: str
    key: str
    claim_token: str
    deadline_ms: float


class NeverDispatched(Message):
    """Reply that the claim's holder did not dispatch the call and never will."""


class StepSession(Message):
    """Announcement of the newest session of a trainer's step."""

    trainer: str
    step: int
    session: int
    holder: str


class TrainerVersion(Message):
    """A trainer's new weight version; the reply follows once the holder applied it."""

    trainer: str
    version: int


class AdminQuery(Message):
    """Request for a peer's part of an operator's query."""

    subject: str
    argument: str = ""


class AdminAnswer(Message):
    """A peer's part of the response to an operator's query, as JSON."""

    body: bytes


AnyMessage = (
    Done
    | Failed
    | Heartbeat
    | Digests
    | ForwardGenerate
    | ForwardCall
    | AnswerChunk
    | AnswerEnd
    | AnswerCall
    | Refused
    | FetchConfiguration
    | ConfigurationUpdate
    | ServerMark
    | StrikeReport
    | RunCall
    | AwaitCall
    | NeverDispatched
    | StepSession
    | TrainerVersion
    | AdminQuery
    | MarksQuery
    | AdminAnswer
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return ENCODER.encode(message)


def decode(frame: bytes) -> Message:
    """Decode and validate a message of any type.

    Raises
    ------
    msgspec.DecodeError
        The frame is malformed or of an unknown type.
    """
    return DECODER.decode(frame)
