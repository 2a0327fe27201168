"""Identification of callers by the keys of customers.

Keys are secret: they are looked up and not kept, and no text made here contains one.
The lookup is that of a dict. It compares the text of two keys only when their 64-bit
hashes are equal, and the hashes depend on a random number of this process. Its duration
tells nothing about the keys of the configuration.
"""

from collections.abc import Sequence

from result import Err, Ok, Result

from ..interfaces import Metrics
from ..outcomes import Outcome, Refusal
from ..routes import Configuration, Customer, Route, RouteKind, RouteTable
from .batch_access import EVERY_BATCH, BatchAccess
from .revocation_bound import RevocationBound

SCHEME = "bearer"
# Short, because another entry VM may have a more recent view of the configuration.
RETRY_ELSEWHERE_MS = 50

Identity = Result[Customer | None, Refusal]


def refuse_key(reason: str, message: str) -> Err[Refusal]:
    """Return the refusal of a request whose key can never be accepted."""
    return Err(Refusal(Outcome.NOT_RUN, reason, message))


def refuse_here(reason: str, message: str) -> Err[Refusal]:
    """Return the refusal of a request that another entry VM may accept."""
    return Err(Refusal(Outcome.NOT_RUN, reason, message, RETRY_ELSEWHERE_MS))


def read_key(authorization_headers: Sequence[str]) -> Result[str, Refusal]:
    """Return the key in the values of a request's headers; empty without a header."""
    if not authorization_headers:
        return Ok("")
    if len(authorization_headers) > 1:
        return refuse_key("missing_key", "more than one Authorization header")
    scheme, _, rest = authorization_headers[0].strip().partition(" ")
    if scheme.lower() != SCHEME:
        return refuse_key(
            "missing_key", "the scheme of the Authorization header is not Bearer"
        )
    key = rest.strip()
    if not key:
        return refuse_key("missing_key", "the Authorization header has no key")
    return Ok(key)


class KeyCheck:
    """Identifies the customer of a caller's request.

    Parameters
    ----------
    routes : RouteTable
        Configuration in force, with the keys.
    bound : RevocationBound
        Age of the view of the configuration.
    metrics : Metrics
        Receiver of counters.
    """

    def __init__(
        self, routes: RouteTable, bound: RevocationBound, metrics: Metrics
    ) -> None:
        self.routes = routes
        self.bound = bound
        self.metrics = metrics

    @property
    def has_customers(self) -> bool:
        """Whether customers are configured, so that callers need keys."""
        configuration = self.routes.configuration
        return configuration is not None and configuration.has_customers

    def may_get_keys(self) -> bool:
        """Return whether requests may carry keys."""
        return self.routes.configuration is None or self.has_customers

    def identify(self, authorization_headers: Sequence[str], route: Route) -> Identity:
        """Return the customer of a request, or None if no key is needed.

        A key that is sent must be valid, also where none is needed: a caller whose key
        was taken away must not be served because its route is public.

        Parameters
        ----------
        authorization_headers : sequence of str
            Values of the request's ``Authorization`` headers.
        route : Route
            Route of the request.
        """
        return self.count(self.check(authorization_headers, route.public))

    def identify_batch_caller(
        self, authorization_headers: Sequence[str]
    ) -> Result[BatchAccess, Refusal]:
        """Return the batches that the caller of a request without a route may use.

        A key is needed unless batches can be submitted without one.
        """
        configuration = self.routes.configuration
        if configuration is None or not configuration.has_customers:
            return Ok(EVERY_BATCH)
        identity = self.count(
            self.check(authorization_headers, has_public_batches(configuration))
        )
        if isinstance(identity, Err):
            return identity
        customer = identity.ok_value
        return Ok(BatchAccess(customer.name if customer else ""))

    def check(
        self, authorization_headers: Sequence[str], key_is_optional: bool
    ) -> Identity:
        """Return the customer whose key a request carries, None, or the refusal."""
        configuration = self.routes.configuration
        if configuration is None or not configuration.has_customers:
            return Ok(None)
        read = read_key(authorization_headers)
        if isinstance(read, Err):
            return read
        key = read.ok_value
        if not key:
            if key_is_optional:
                return Ok(None)
            return refuse_key("missing_key", "the request has no Authorization header")
        if not self.bound.may_honour_keys():
            return refuse_here(
                "keys_not_current", "this entry VM cannot tell which keys are valid now"
            )
        customer = configuration.customers_by_key.get(key)
        if customer is not None:
            return Ok(customer)
        if self.bound.may_lack_keys():
            return refuse_here(
                "keys_not_current", "this entry VM may not have read a new key yet"
            )
        return refuse_key("unknown_key", "no customer has this key")

    def count(self, identity: Identity) -> Identity:
        """Count a refusal by its reason."""
        if isinstance(identity, Err):
            self.metrics.incr(f"customers.refused.{identity.err_value.reason}")
        return identity


def has_public_batches(configuration: Configuration) -> bool:
    """Return whether batches can be submitted without a key."""
    return any(
        route.public and route.kind is RouteKind.BATCH for route in configuration.routes
    )
