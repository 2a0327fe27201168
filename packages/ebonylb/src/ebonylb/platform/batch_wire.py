"""Wire format of batches and their results."""

import base64

import msgspec
from multidict import CIMultiDict

from ..batches import (
    Batch,
    BatchHeader,
    BatchItem,
    ResultsPage,
    ScoringRequest,
    measure_items,
)
from ..outcomes import DECODING_ERRORS
from ..tasks import in_turns
from . import wire_names
from .identity_headers import customer_headers, replace_identity
from .numbers import parse_count

# Decoding an item takes some 20 us.
ITEMS_PER_TURN = 100


class WireScorer(msgspec.Struct):
    """Request that scores an item's text; `Path` may have a query."""

    Id: str
    Host: str
    Path: str
    Body: str = ""

    def decode(self, customer: str | None) -> ScoringRequest:
        """Return the request of a customer as the internal type."""
        body = base64.b64decode(self.Body, validate=True)
        headers = customer_headers(customer)
        return ScoringRequest(self.Id, self.Host, self.Path, body, headers)


class WireItem(msgspec.Struct):
    """Item of a submitted batch.

    `Tokens` is the sum of the prompt tokens and the maximum of output tokens.
    `ScorerUrl` is a whole request and not a URL.
    """

    Id: str
    Path: str
    Headers: dict[str, str] = {}
    Body: str = ""
    Tokens: int = 0
    Group: str = ""
    ScorerUrl: WireScorer | None = None


item_decoder = msgspec.json.Decoder(WireItem)


class WireBatch(msgspec.Struct):
    """Submitted batch; `MinVersion` is the oldest version that may generate tokens.

    Its items are decoded one by one, since a batch may have tens of thousands.
    """

    Items: list[msgspec.Raw]
    Step: int = -1
    Model: str = ""
    MinVersion: int = 0
    TargetGroups: int = 0


def decode_prompt_tokens(usage: str | None, prefix: str | None) -> int:
    """Return the length of a prompt from its headers; 0 if they don't state it.

    `usage` states it. Otherwise, the prompt has at least the tokens of its known parts.
    The total of `Tokens` is no help: it includes the maximum of the output.
    """
    tokens = parse_count((usage or "").partition(",")[0].strip())
    if tokens is not None:
        return tokens
    parts = (part.rpartition(":")[2].strip() for part in (prefix or "").split(","))
    return sum(parse_count(part) or 0 for part in parts)


def decode_item(wire: WireItem, host: str, customer: str | None = None) -> BatchItem:
    """Return the item of a wire item, with host and customer in its headers."""
    if not wire.Path.startswith("/"):
        # Appended to an address, it would select another server.
        raise msgspec.ValidationError(f"path {wire.Path!r} does not begin with a slash")
    headers = CIMultiDict(wire.Headers)
    headers["Host"] = host
    return BatchItem(
        item_id=wire.Id,
        target=wire.Path,
        headers=replace_identity(headers.items(), customer),
        body=base64.b64decode(wire.Body, validate=True),
        model=headers.get(wire_names.MODEL, ""),
        group=wire.Group,
        tokens=wire.Tokens,
        length_hint=parse_count(headers.get(wire_names.LENGTH_HINT)) or 0,
        scoring=wire.ScorerUrl and wire.ScorerUrl.decode(customer),
        prompt_tokens=decode_prompt_tokens(
            headers.get(wire_names.TOKEN_USAGE), headers.get(wire_names.PROMPT_PREFIX)
        ),
    )


async def decode_batch(
    body: bytes,
    batch_id: str,
    route: str,
    host: str,
    now_unix_ms: int,
    customer: str | None = None,
) -> Batch | None:
    """Return the batch in a request body; None if the body is malformed.

    Parameters
    ----------
    customer : str or None
        Customer of the batch; empty for a caller without a key. None where no
        customers are configured, so that the items keep their headers.
    """
    try:
        wire = msgspec.json.decode(body, type=WireBatch)
        items: list[BatchItem] = []
        held_bytes = 0
        async for raw_items in in_turns(wire.Items, ITEMS_PER_TURN):
            some = [
                decode_item(item_decoder.decode(raw), host, customer)
                for raw in raw_items
            ]
            items.extend(some)
            held_bytes += measure_items(some)
    except DECODING_ERRORS:
        return None
    if len({item.item_id for item in items}) < len(items):
        return None
    header = BatchHeader(
        batch_id=batch_id,
        route=route,
        total=len(items),
        submitted_unix_ms=now_unix_ms,
        model=wire.Model,
        step=wire.Step,
        min_version=wire.MinVersion,
        groups_wanted=wire.TargetGroups,
        customer=customer or "",
        held_bytes=held_bytes,
    )
    return Batch(header, tuple(items))


def encode_results(page: ResultsPage) -> bytes:
    """Return the body of a response with results."""
    results = []
    for result in page.results:
        wire = {
            "Id": result.item_id,
            "State": "succeeded" if result.succeeded else "errored",
            "Text": result.text,
        }
        if result.succeeded:
            wire["Versions"] = list(result.versions)
        if result.score:
            wire["Score"] = result.score
        results.append(wire)
    return msgspec.json.encode(
        {"Total": page.total, "Next": page.next_position, "Results": results}
    )
