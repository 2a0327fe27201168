"""Lines of a step's response stream, encoded as NDJSON."""

import msgspec


class Segment(msgspec.Struct, frozen=True):
    """Consecutive tokens that one server generated with one weight version."""

    version: int
    tokens: int
    server: str


class Sample(msgspec.Struct, tag="sample", tag_field="type", frozen=True):
    """The complete sample of a slot."""

    slot: int
    text: str
    tokens: int
    segments: list[Segment]


class Failed(msgspec.Struct, tag="failed", tag_field="type", frozen=True):
    """A slot that failed permanently and gets no sample in this step."""

    slot: int
    outcome: str
    reason: str
    message: str


class Moved(msgspec.Struct, tag="moved", tag_field="type", frozen=True):
    """Last line of an interrupted stream; the trainer reconnects with a new session."""

    reason: str


class End(msgspec.Struct, tag="end", tag_field="type", frozen=True):
    """Last line of a completed step: every slot is acknowledged, delivered or failed.

    `discarded` counts finished samples that were too old at delivery, `cancelled`
    samples that became too old during their generation.
    """

    delivered: int
    failed: int
    discarded: int
    cancelled: int


Line = Sample | Failed | Moved | End


def encode_line(line: Line) -> bytes:
    """Encode a line as JSON with a trailing line feed."""
    return msgspec.json.encode(line) + b"\n"
