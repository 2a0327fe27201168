"""Which server should load which version of which model.

Every entry VM works the plan out from the same rows of the store, so that it needs no
agreement; only the right to order a server does.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..fleet import ListedServer

# A batch may use the version before the newest one, so that half of a model's servers
# change with each version while the other half serves. Each server of a model then
# loads every second version.
VERSIONS_PER_LOAD = 2


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A version that a server should load."""

    server: str
    model: str
    version: int


def servers_per_model(servers: int, models: int) -> int:
    """Return the number of servers for each model.

    As many loads of a version are free as there are servers for one model when all
    models share alike.
    """
    if models <= 1:
        return servers
    return min(servers, math.ceil(VERSIONS_PER_LOAD * servers / models))


def servers_of_model(
    model: str, models: Sequence[str], servers: Sequence[str]
) -> list[str]:
    """Return the servers of a model.

    Models take consecutive stretches of the ring of servers, so that each server has
    about equally many models.
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

    Parameters
    ----------
    servers : sequence of ListedServer
        Ready servers of one service.
    models : sequence of str
        Models of the service, in the order of its declaration.
    named : mapping of str to int
        Newest version named of each model.
    version_of : mapping of (str, str) to int
        Version on each server by (server, model).
    """
    names = [server.name for server in servers]
    urgent: list[PlannedLoad] = []
    due: list[PlannedLoad] = []
    for model in models:
        target_version = target_versions.get(model, 0)
        for index, server in enumerate(servers_of_model(model, models, names)):
            loaded = loaded_versions.get((server, model), 0)
            if loaded == 0 or loaded >= target_version:
                continue
            planned = PlannedLoad(server, model, target_version)
            if loaded < target_version - 1:
                urgent.append(planned)
            elif (target_version + index) % VERSIONS_PER_LOAD == 0:
                due.append(planned)
    return urgent + due
