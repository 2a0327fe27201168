"""Answers questions about placements with the decisions that real requests use."""

from ..forwarding import CallerRequest, CallerResponse
from ..interfaces import Clock
from ..outcomes import Outcome, Refusal
from ..routes import Configuration, Route, RouteKind
from .items import ItemExplainer
from .model import Explanation, Question
from .requests import RequestExplainer

UNAUTHORIZED = 401
NO_CUSTOMER = Refusal(
    Outcome.NOT_RUN,
    "missing_key",
    "the route needs a customer's key; name the customer",
)
UNKNOWN_CUSTOMER = Refusal(
    Outcome.NOT_RUN, "unknown_key", "the configuration has no customer of this name"
)


class Explainer:
    """Explains placements as of now, and changes nothing.

    Parameters
    ----------
    entry_vm : str
        Name of this entry VM.
    requests : RequestExplainer
        Explains single requests.
    items : ItemExplainer
        Explains items of batches.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        entry_vm: str,
        requests: RequestExplainer,
        items: ItemExplainer,
        clock: Clock,
    ) -> None:
        self.entry_vm = entry_vm
        self.requests = requests
        self.items = items
        self.clock = clock

    def explain(self, question: Question) -> Explanation:
        """Return where a request or an item would be placed, and why."""
        routes = self.requests.forwarder.routes
        explanation = Explanation(self.entry_vm, routes.version)
        path = question.path.partition("?")[0]
        request = CallerRequest(
            question.request_id,
            "GET",
            question.host,
            path,
            question.path,
            (),
            b"",
            self.clock.monotonic_ms(),
        )
        route = self.requests.forwarder.find_route(request)
        if isinstance(route, CallerResponse):
            explanation.refuse(route.refusal, route.status)
            return explanation
        explanation.route, explanation.kind = route.name, route.kind
        explanation.priority = route.priority
        refusal = self.identify(question, route, routes.configuration, explanation)
        if refusal is not None:
            explanation.refuse(refusal, UNAUTHORIZED)
        elif route.kind is RouteKind.BATCH:
            self.items.explain(question, route, explanation)
        else:
            self.requests.explain(request, route, explanation)
        return explanation

    def identify(
        self,
        question: Question,
        route: Route,
        configuration: Configuration,
        explanation: Explanation,
    ) -> Refusal | None:
        """Fill in the customer, or return the refusal of a request without its key."""
        if not configuration.has_customers:
            return None
        customer = configuration.customers.get(question.customer)
        if customer is None:
            if question.customer:
                return UNKNOWN_CUSTOMER
            return None if route.public else NO_CUSTOMER
        explanation.customer = customer.name
        if customer.priority is not None:
            explanation.priority = customer.priority
        return None
