"""Route table of this entry VM, and the split of routes between services."""

import logging
from collections.abc import Callable

from xxhash import xxh64_intdigest

from .model import Configuration, Route, Target

logger = logging.getLogger(__name__)

ConfigurationObserver = Callable[[Configuration | None, Configuration], None]

HASH_RANGE = float(1 << 64)


class RouteTable:
    """Routes of the newest configuration received; older ones are ignored.

    Attributes
    ----------
    observers : list of callable
        Called with the previous configuration, if any, and the one now in force.
    """

    def __init__(self) -> None:
        self.observers: list[ConfigurationObserver] = []
        self.configuration: Configuration | None = None
        self.routes_by_host: dict[str, list[Route]] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force, or 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def apply(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Returns
        -------
        bool
            Whether the configuration was applied.
        """
        if configuration.version <= self.version:
            return False
        routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.routes_by_host = routes_by_host
        previous, self.configuration = self.configuration, configuration
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
            },
        )
        for observe in self.observers:
            observe(previous, configuration)
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix, or None.

        A host with a port uses the routes of the host without it, unless it has its
        own.
        """
        host = host.lower()
        routes = self.routes_by_host.get(host)
        if routes is None:
            routes = self.routes_by_host.get(host.partition(":")[0], ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def find_by_name(self, name: str) -> Route | None:
        """Return a route by its name, or None if there is none."""
        if self.configuration is None:
            return None
        return next((r for r in self.configuration.routes if r.name == name), None)

    def priority_of(self, customer_name: str, route: Route) -> int:
        """Return the priority of a customer's requests to a route."""
        customers = self.configuration.customers if self.configuration else {}
        customer = customers.get(customer_name)
        if customer is None or customer.priority is None:
            return route.priority
        return customer.priority


def choose_target(route: Route, request_id: str) -> Target:
    """Return the target of a split route for a request.

    The target depends only on the request's id, so that a repeated request goes to the
    same service.
    """
    total_weight = sum(target.weight for target in route.targets)
    if len(route.targets) == 1 or total_weight <= 0:
        return route.targets[0]
    position = xxh64_intdigest(request_id.encode()) / HASH_RANGE * total_weight
    for target in route.targets:
        position -= target.weight
        if position < 0:
            return target
    return route.targets[-1]
