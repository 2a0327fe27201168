"""Connections of shard owners to the rest of the process."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..backends.model import BackendServer
from ..crashes import StrikeRegistry
from ..edges import Clock, ModelEngine, PlainService
from ..outcomes import StepError
from ..retries import RetryBudget
from ..settings import Limits, Policy
from .server_slot import Probe


@dataclass(frozen=True, slots=True)
class OwnerWiring:
    """What an owner needs from the rest of the process.

    Parameters
    ----------
    clock : Clock
        Source of time.
    servers : callable
        ``servers(service, shard)`` returns the assignable `BackendServer` objects.
    engine_for, plain_for : callable
        Return the connection to a server.
    report : callable
        ``report(server, error)`` takes in a failure, or None after a success.
    weight : callable
        Current weight of a party, such as `ClusterShares.local_weight`.
    book : StrikeRegistry
        Strikes, shared by all owners of the process.
    budget : RetryBudget
        Retries and hedges, shared by all owners of the process.
    probe : callable or None
        Reads the incarnation of a plain service, to tell a crash from a cut
        connection; None takes the incarnation from `servers`, which lags.
    is_home : callable
        ``is_home(service, shard, fingerprint)`` tells whether struck requests of
        this fingerprint run on this shard; see `TargetChoice.home`.
    limits : Limits
        Queue limit and window sizes.
    policy : Policy
        Weights of the policy.
    adapt_ms : float
        Interval of all periodic decisions.
    """

    clock: Clock
    servers: Callable[[str, int], list[BackendServer]]
    engine_for: Callable[[BackendServer], ModelEngine]
    plain_for: Callable[[BackendServer], PlainService]
    report: Callable[[BackendServer, StepError | None], None]
    weight: Callable[[str], float]
    book: StrikeRegistry
    budget: RetryBudget
    probe: Probe | None = None
    is_home: Callable[[str, int, str], bool] = lambda service, shard, identity: True
    limits: Limits = field(default_factory=Limits)
    policy: Policy = field(default_factory=Policy)
    adapt_ms: float = 500.0
