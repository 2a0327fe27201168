"""Plan of weight loads: which server should load which version of which model.

Every entry VM computes the plan from the same rows of the store, so that the plan needs
no coordination. Only the lease to order a server does.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..fleet import ListedServer

# Batches may use the newest version and the one before it. With each new version one
# half of a model's servers loads while the other half serves, so that each server loads
# every second version.
VERSIONS_PER_LOAD = 2


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A weight version of a model that a server should load."""

    server: str
    model: str
    version: int


def servers_per_model(servers: int, models: int) -> int:
    """Return the number of servers assigned to each model.

    Each version of a model may be loaded `servers / models` times without cost. As each
    server loads every second version only, twice as many servers can be assigned.
    """
    if models <= 1:
        return servers
    return min(servers, math.ceil(VERSIONS_PER_LOAD * servers / models))


def servers_of_model(
    model: str, models: Sequence[str], servers: Sequence[str]
) -> list[str]:
    """Return the servers assigned to a model.

    Each model has a consecutive range of the ring of servers, so that all servers have
    about the same number of models.
    """
    ring = sorted(servers)
    if not ring:
        return []
    count = servers_per_model(len(ring), len(models))
    first = models.index(model) * len(ring) // len(models)
    return [ring[(first + offset) % len(ring)] for offset in range(count)]


def plan_orders(
    servers: Sequence[ListedServer],
    models: Sequence[str],
    target_versions: Mapping[str, int],
    loaded_versions: Mapping[tuple[str, str], int],
) -> list[PlannedLoad]:
    """Return the loads that are due, the most urgent first.

    Loads are urgent on servers whose version is older than the one before the newest.
    A server whose version is unknown gets no load.

    Parameters
    ----------
    servers : sequence of ListedServer
        Ready servers of one service.
    models : sequence of str
        Models of the service, in the order of its declaration.
    target_versions : mapping of str to int
        Newest version announced for each model.
    loaded_versions : mapping of (str, str) to int
        Version on each server by (server, model); 0 or missing if unknown.
    """
    names = [server.name for server in servers]
    urgent: list[PlannedLoad] = []
    due: list[PlannedLoad] = []
    for model in models:
        target_version = target_versions.get(model, 0)
        assigned = [
            (index, server, loaded_versions.get((server, model), 0))
            for index, server in enumerate(servers_of_model(model, models, names))
        ]
        missing = missing_loads(
            [loaded for _, _, loaded in assigned if loaded], target_version
        )
        for index, server, loaded in assigned:
            if loaded == 0 or loaded >= target_version:
                continue
            planned = PlannedLoad(server, model, target_version)
            if loaded < target_version - 1:
                urgent.append(planned)
            elif missing and (target_version + index) % VERSIONS_PER_LOAD == 0:
                missing -= 1
                due.append(planned)
    return urgent + due


def missing_loads(loaded_versions: Sequence[int], target_version: int) -> int:
    """Return how many more servers of a model should load a version.

    Half of them should. Servers that skipped the version before load this one in any
    case. The others are chosen by their numbers on the ring, which change whenever a
    server joins or leaves: without this limit, half of them would load again each time.
    """
    loading = sum(
        loaded >= target_version or loaded < target_version - 1
        for loaded in loaded_versions
    )
    return max(0, math.ceil(len(loaded_versions) / VERSIONS_PER_LOAD) - loading)
