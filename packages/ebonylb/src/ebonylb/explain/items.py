"""Explanation of the placement of a batch item."""

from ..batches import BatchHeader, BatchItem, BatchService
from ..batches.item_state import ItemState
from ..batches.placement import ItemPlacement, ItemRequirements
from ..batches.service import NO_MEMORY
from ..fleet import ListedServer, ServerStage
from ..interfaces import Clock
from ..routes import Route
from .model import Candidate, Explanation, Question, Verdict, make_candidate
from .requests import LEAVING

REFUSED_STATUS = 503


class ItemExplainer:
    """Explains an item of a batch that would be submitted now.

    Parameters
    ----------
    batches : BatchService
        Accepts batches.
    placement : ItemPlacement
        Chooses servers for items.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, batches: BatchService, placement: ItemPlacement, clock: Clock
    ) -> None:
        self.batches = batches
        self.placement = placement
        self.clock = clock

    def explain(
        self, question: Question, route: Route, explanation: Explanation
    ) -> None:
        """Fill in whether a batch is accepted and where its only item would run."""
        header = BatchHeader(
            question.request_id,
            route.name,
            1,
            0,
            model=question.model,
            min_version=question.min_version,
        )
        ownership = self.batches.ownership
        refusal = self.batches.find_refusal(header)
        chosen = ownership.holder_choice.choose_holder(header)
        if chosen is None:
            refusal = refusal or NO_MEMORY
        if refusal is not None:
            explanation.refuse(refusal, REFUSED_STATUS)
            return
        explanation.holder = chosen[0]
        due_ms = self.clock.monotonic_ms() + route.result_deadline_ms
        need = ownership.runner.requirements_of(
            ItemState(make_item(question)), header, route, due_ms
        )
        self.explain_need(need, explanation)

    def explain_need(self, need: ItemRequirements, explanation: Explanation) -> None:
        """Fill in where an item with these requirements would run."""
        placement = self.placement
        explanation.service = need.service
        gap_ms = placement.selector.peek_median_gap_ms(need.service)
        length_share = placement.length_share(need, gap_ms)
        for server in placement.directory.servers.values():
            if server.service != need.service:
                continue
            excluded = self.exclusion(server, need, gap_ms)
            cost = placement.cost(server, need, gap_ms, length_share)
            candidate = make_candidate(server, None if excluded else cost, excluded)
            explanation.candidates.append(candidate)
        start_ms = placement.latest_start_ms(need, gap_ms)
        explanation.items_ahead = sum(
            waiter.sort_key[0] <= start_ms and not waiter.granted_server.done()
            for waiter in placement.waiters
        )
        best = cheapest(explanation.candidates)
        explanation.verdict = Verdict.WAITS if best is None else Verdict.SENT
        explanation.server = best and best.server

    def exclusion(
        self, server: ListedServer, need: ItemRequirements, gap_ms: float
    ) -> str | None:
        """Return what excludes a server; None if nothing does."""
        if server.stage is not ServerStage.READY:
            return LEAVING
        would_accept = self.placement.selector.limits.would_accept
        shares = self.placement.slot_shares(need, forced=False)
        return self.placement.exclusion(
            server, need, False, gap_ms, would_accept, shares
        )


def make_item(question: Question) -> BatchItem:
    """Return the item of a question."""
    return BatchItem(
        question.request_id,
        question.path,
        (),
        b"",
        model=question.model,
        group=question.group,
        length_hint=question.output_tokens,
        prompt_tokens=question.tokens,
    )


def cheapest(candidates: list[Candidate]) -> Candidate | None:
    """Return the first candidate with the lowest cost; None if all are excluded."""
    return min(
        (c for c in candidates if c.total is not None),
        key=lambda c: c.total,
        default=None,
    )
