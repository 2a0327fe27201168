"""Operator functions: status, shares, decisions on a request, and drains."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from ..backends import BackendRegistry, MarkPropagator
from ..configuration import ConfigurationState
from ..interfaces import Clock
from ..membership import Membership
from ..outcomes import StepError
from ..peers import PeerBus
from ..peers.messages import (
    AdminAnswer,
    AdminQuery,
    Message,
    ServerMark,
)
from ..routing.owner_table import OwnerTable
from ..telemetry import Decision, RequestTrace

QUERY_TIMEOUT_MS = 1_500
# Entry VMs to which a leaving entry VM sends a mark; several, because some may be
# leaving too without this one knowing yet.
MAX_HANDOVER_PEERS = 4


class Operations:
    """Serves operator requests with data of this entry VM and its peers.

    Parameters
    ----------
    membership : Membership
        View of the entry VMs.
    registry : BackendRegistry
        Backend servers.
    mark_propagator : MarkPropagator
        Sends marks to peers.
    owner_table : OwnerTable
        Owners of the shards of this entry VM.
    configuration : ConfigurationState
        Configuration in force.
    bus : PeerBus
        Links to peers.
    trace : RequestTrace
        Decisions made by this entry VM.
    clock : Clock
        Source of time.
    lifecycle_state : callable
        Returns the lifecycle state of this entry VM.
    """

    def __init__(
        self,
        membership: Membership,
        registry: BackendRegistry,
        mark_propagator: MarkPropagator,
        owner_table: OwnerTable,
        configuration: ConfigurationState,
        bus: PeerBus,
        trace: RequestTrace,
        clock: Clock,
        lifecycle_state: Callable[[], str],
    ) -> None:
        self.membership = membership
        self.registry = registry
        self.mark_propagator = mark_propagator
        self.owner_table = owner_table
        self.configuration = configuration
        self.bus = bus
        self.trace = trace
        self.clock = clock
        self.lifecycle_state = lifecycle_state
        bus.on(AdminQuery, self.on_query)

    async def on_query(self, message: Message) -> AdminAnswer:
        """Reply to a peer's query with the data of this entry VM."""
        assert isinstance(message, AdminQuery)
        if message.subject == "explain":
            content: Any = [
                (decision.at_ms, decision.step, decision.detail)
                for decision in self.trace.explain(message.argument)
            ]
        else:
            content = self.local_status()
        return AdminAnswer(msgspec.json.encode(content))

    async def query_entry_vms(self, subject: str, argument: str = "") -> dict[str, Any]:
        """Return the data of all other entry VMs that reply in time, by name."""
        names = [n for n in self.membership.entry_vms() if n != self.membership.name]
        for name in names:
            self.membership.ensure_link(name)
        query = AdminQuery(subject, argument)
        replies = await self.bus.broadcast(names, query, QUERY_TIMEOUT_MS)
        return {
            name: msgspec.json.decode(reply.body)
            for name, reply in replies.items()
            if isinstance(reply, AdminAnswer)
        }

    def local_status(self) -> dict[str, Any]:
        """Return the status of this entry VM."""
        return {
            "name": self.membership.name,
            "failure_domain": self.membership.failure_domain,
            "region": self.membership.region,
            "revision": self.configuration.revision,
            "lifecycle": self.lifecycle_state(),
            "served": self.owner_table.served,
            "servers": {
                slot["server"]: {
                    "window": slot["window"],
                    "running": slot["running"],
                    "queued": len(owner.queue),
                    "version": slot["version"],
                }
                for owner in self.owner_table.owners.values()
                for slot in owner.snapshot()
            },
        }

    async def status(self) -> dict[str, Any]:
        """Return the body of ``GET /admin/status``."""
        statuses = await self.query_entry_vms("status")
        statuses[self.membership.name] = self.local_status()
        entry_vms, observed = [], {}
        for name in self.membership.entry_vms():
            status = dict(statuses.get(name) or self.unreachable_status(name))
            observed.update(status.pop("servers", {}))
            status.pop("served", None)
            entry_vms.append(status)
        return {"entry_vms": entry_vms, "servers": self.server_statuses(observed)}

    def unreachable_status(self, name: str) -> dict[str, Any]:
        """Return what membership knows of an entry VM that did not reply."""
        vm = self.membership.view.vms[name]
        return {
            "name": name,
            "failure_domain": vm.failure_domain,
            "region": vm.region,
            "revision": vm.revision,
            "lifecycle": "unreachable",
        }

    def server_statuses(self, observed: dict[str, Any]) -> list[dict[str, Any]]:
        """Return all backend servers with the values that their owners observe."""
        unobserved = {"window": None, "running": None, "queued": None, "version": None}
        return [
            {
                "name": server.name,
                "service": server.service,
                "failure_domain": server.failure_domain,
                "state": str(server.state),
                **observed.get(server.name, unobserved),
            }
            for service in self.registry.services()
            for server in sorted(self.registry.servers(service), key=lambda s: s.name)
        ]

    async def shares(self) -> dict[str, Any]:
        """Return the body of ``GET /admin/shares``: entitled and served shares."""
        served = await self.served_totals()
        services = {}
        for name, service in self.configuration.sheet.services.items():
            tokens = {
                party: served.get(f"{name}/{party}", 0) for party in service.shares
            }
            total = sum(tokens.values())
            services[name] = {
                party: {
                    "entitled": self.configuration.entitled_share(name, party),
                    "served_tokens": count,
                    "served_share": count / total if total else 0.0,
                }
                for party, count in tokens.items()
            }
        return {"services": services}

    async def served_totals(self) -> dict[str, int]:
        """Return served tokens by ``service/party``, summed over all entry VMs.

        Entry VMs that do not reply count with the values last received by membership.
        """
        totals = self.membership.served_totals()
        reported = {
            entry_vm: status["served"]
            for entry_vm, status in (await self.query_entry_vms("status")).items()
        }
        for name, served in reported.items():
            recorded = self.membership.view.vms[name].served
            for key in served.keys() | recorded.keys():
                increase = served.get(key, 0) - recorded.get(key, 0)
                totals[key] = totals.get(key, 0) + increase
        return totals

    async def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions of all entry VMs on a request, oldest first."""
        decisions = list(self.trace.explain(request_id))
        for name, entries in (
            await self.query_entry_vms("explain", request_id)
        ).items():
            decisions += [
                Decision(at_ms, f"{step} ({name})", detail)
                for at_ms, step, detail in entries
            ]
        return sorted(decisions, key=lambda decision: decision.at_ms)

    async def drain(self, server: str, leaving: bool, operator: str) -> bool:
        """Mark a backend server as leaving, or revoke the mark.

        Returns False if the server is unknown.

        Raises
        ------
        StepError
            This entry VM is leaving, and no other entry VM has confirmed the mark.
        """
        mark = self.registry.mark(server, leaving, f"operator {operator}")
        if mark is None:
            return False
        if self.lifecycle_state() != "ready" and not await self.hand_over(mark):
            raise StepError(
                "drain.entrust",
                server,
                "this entry VM leaves and no other one has confirmed the mark; "
                "repeat it at another entry VM",
            )
        return True

    async def hand_over(self, mark: ServerMark) -> bool:
        """Send a mark to ready entry VMs; return whether one acknowledged it."""
        candidates = self.membership.ready_peers()
        receivers = random.sample(candidates, min(MAX_HANDOVER_PEERS, len(candidates)))
        for peer in receivers:
            self.membership.ensure_link(peer)
        return await self.mark_propagator.replicate(mark, receivers)


async def run_periodically(
    clock: Clock, interval_ms: float, action: Callable[[], Any]
) -> None:
    """Run an action periodically; a `StepError` does not end the loop."""
    while True:
        await clock.sleep_ms(interval_ms)
        try:
            result = action()
            if asyncio.iscoroutine(result):
                await result
        except StepError:
            continue
