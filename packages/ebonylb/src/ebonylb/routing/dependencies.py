"""Services and settings that a shard owner gets from the rest of the process."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..backends.model import BackendServer
from ..crashes import StrikeRegistry
from ..interfaces import Clock, ModelEngine, PlainService
from ..outcomes import StepError
from ..retries import RetryBudget
from ..settings import Limits, Policy
from .server_slot import IncarnationProbe


@dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """Services and settings that are passed to a shard owner.

    Parameters
    ----------
    clock : Clock
        Time source.
    servers : callable
        ``servers(service, shard)`` returns the assignable `BackendServer` objects.
    engine_for, plain_for : callable
        Return the client of a model engine or of a plain service.
    report : callable
        ``report(server, error)`` records a failure, or a success if error is None.
    weight : callable
        Returns the current weight of a party, such as `ClusterShares.local_weight`.
    strike_registry : StrikeRegistry
        Strikes, shared by all owners of the process.
    budget : RetryBudget
        Budget of retries and hedges, shared by all owners of the process.
    probe : callable or None
        Reads the incarnation of a plain service, which distinguishes a crash from a
        broken connection. With None the incarnation is taken from `servers`, which
        lags behind.
    is_home : callable
        ``is_home(service, shard, fingerprint)`` returns whether struck requests with
        this fingerprint run on this shard; see `TargetChoice.home`.
    limits : Limits
        Queue limit and window sizes.
    policy : Policy
        Profile and ratios from which the scheduling parameters are derived.
    adapt_interval_ms : float
        Interval of all periodic decisions, in milliseconds.
    """

    clock: Clock
    servers: Callable[[str, int], list[BackendServer]]
    engine_for: Callable[[BackendServer], ModelEngine]
    plain_for: Callable[[BackendServer], PlainService]
    report: Callable[[BackendServer, StepError | None], None]
    weight: Callable[[str], float]
    strike_registry: StrikeRegistry
    budget: RetryBudget
    probe: IncarnationProbe | None = None
    is_home: Callable[[str, int, str], bool] = lambda service, shard, fingerprint: True
    limits: Limits = field(default_factory=Limits)
    policy: Policy = field(default_factory=Policy)
    adapt_interval_ms: float = 500.0
