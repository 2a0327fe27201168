"""Questions about placements, and the explanations that answer them."""

from enum import StrEnum
from typing import Annotated, Any

import msgspec

from ..fleet import ListedServer, ServerCost
from ..outcomes import Refusal

Count = Annotated[int, msgspec.Meta(ge=0)]


class Question(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request or a batch item that is not sent.

    Attributes
    ----------
    host, path : str
        Host and path that select the route; a query in the path is ignored.
    request_id : str
        Id of the request or the item, which selects the target of a split route.
    customer : str
        Name of the customer, never a key.
    tokens : int
        Length of an item's prompt.
    output_tokens : int
        Estimate of an item's output.
    model : str
        Model of an item.
    min_version : int
        Oldest weight version allowed for an item.
    group : str
        Group of an item.
    """

    host: str
    path: str
    request_id: str = ""
    customer: str = ""
    tokens: Count = 0
    output_tokens: Count = 0
    model: str = ""
    min_version: Count = 0
    group: str = ""


class Verdict(StrEnum):
    """What would happen to the request or the item now."""

    SENT = "sent"
    WAITS = "waits"
    RELAYED = "relayed"
    REFUSED = "refused"


class Candidate(msgspec.Struct, frozen=True):
    """A server of the service, with its cost or what excludes it.

    Attributes
    ----------
    cost : dict of str to float
        Named parts; empty for an excluded server.
    total : float or None
        Sum of the parts, by which servers are compared.
    excluded : str or None
        Why the server is not used.
    """

    server: str
    failure_domain: str
    cost: dict[str, float] = {}
    total: float | None = None
    excluded: str | None = None


class Explanation(msgspec.Struct):
    """Where a request or an item would be placed.

    Attributes
    ----------
    entry_vm : str
        Entry VM that answers; others may decide otherwise.
    configuration : int
        Version of the configuration in force there.
    verdict : Verdict
        What would happen now.
    server : str or None
        Server to which it would be sent.
    equal_servers : list of str
        Other servers with the same cost; requests choose one of them at random.
    items_ahead : int
        Waiting items that are placed before it.
    holder : str
        Entry VM that would hold the batch; empty for single requests.
    status, reason, message, retry_after : int, str, str, str or None
        The refusal; `retry_after` is the value of the header.
    """

    entry_vm: str
    configuration: int
    verdict: Verdict = Verdict.REFUSED
    route: str = ""
    kind: str = ""
    service: str = ""
    customer: str = ""
    priority: int | None = None
    server: str | None = None
    equal_servers: list[str] = []
    items_ahead: int = 0
    holder: str = ""
    status: int | None = None
    reason: str = ""
    message: str = ""
    retry_after: str | None = None
    candidates: list[Candidate] = []

    def refuse(self, refusal: Refusal, status: int) -> None:
        """Set a refusal as the outcome."""
        self.verdict = Verdict.REFUSED
        self.status, self.reason = status, refusal.reason
        self.message = refusal.message
        if refusal.retry_after_ms is not None:
            self.retry_after = f"{refusal.retry_after_ms / 1000:g}"

    def to_json(self) -> dict[str, Any]:
        """Return the explanation as a JSON object."""
        return msgspec.to_builtins(self)


def make_candidate(
    server: ListedServer, cost: ServerCost | None, excluded: str | None = None
) -> Candidate:
    """Return the candidate of a server, with the parts of its cost that are not 0."""
    if cost is None:
        return Candidate(server.name, server.failure_domain, excluded=excluded)
    parts = {name: part for name, part in cost._asdict().items() if part}
    return Candidate(server.name, server.failure_domain, parts, cost.total, excluded)
