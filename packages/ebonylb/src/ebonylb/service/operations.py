"""What operators see: status, shares, decisions on a request, drains."""

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
# Entry VMs that a leaving one hands a mark to; some may be leaving unnoticed.
ENTRUSTED_PEERS = 4


class Operations:
    """Collects what operators ask for, from this entry VM and its peers.

    Parameters
    ----------
    membership : Membership
        View of the entry VMs.
    registry : BackendRegistry
        Backend servers.
    marks : MarkPropagator
        Hands marks to peers.
    owners : OwnerTable
        Shards owned here.
    state : ConfigurationState
        Configuration in force.
    bus : PeerBus
        Links to peers.
    trace : RequestTrace
        Decisions taken here.
    clock : Clock
        Source of time.
    lifecycle : callable
        Lifecycle state of this entry VM.
    """

    def __init__(
        self,
        membership: Membership,
        registry: BackendRegistry,
        marks: MarkPropagator,
        owners: OwnerTable,
        state: ConfigurationState,
        bus: PeerBus,
        trace: RequestTrace,
        clock: Clock,
        lifecycle: Callable[[], str],
    ) -> None:
        self.membership = membership
        self.registry = registry
        self.marks = marks
        self.owners = owners
        self.state = state
        self.bus = bus
        self.trace = trace
        self.clock = clock
        self.lifecycle = lifecycle
        bus.on(AdminQuery, self.on_query)

    async def on_query(self, message: Message) -> AdminAnswer:
        """Answer a peer's query with this entry VM's own part."""
        assert isinstance(message, AdminQuery)
        if message.subject == "explain":
            part: Any = [
                (decision.at_ms, decision.step, decision.detail)
                for decision in self.trace.explain(message.argument)
            ]
        else:
            part = self.own_status()
        return AdminAnswer(msgspec.json.encode(part))

    async def ask_all(self, subject: str, argument: str = "") -> dict[str, Any]:
        """Return the parts of all entry VMs that answer in time, by name."""
        names = [n for n in self.membership.entry_vms() if n != self.membership.name]
        for name in names:
            self.membership.ensure_link(name)
        query = AdminQuery(subject, argument)
        answers = await self.bus.broadcast(names, query, QUERY_TIMEOUT_MS)
        return {
            name: msgspec.json.decode(answer.body)
            for name, answer in answers.items()
            if isinstance(answer, AdminAnswer)
        }

    def own_status(self) -> dict[str, Any]:
        """Return this entry VM's part of the status."""
        return {
            "name": self.membership.name,
            "failure_domain": self.membership.failure_domain,
            "region": self.membership.region,
            "revision": self.state.revision,
            "lifecycle": self.lifecycle(),
            "served": self.owners.served,
            "servers": {
                seen["server"]: {
                    "window": seen["window"],
                    "running": seen["running"],
                    "queued": len(owner.queue),
                    "version": seen["version"],
                }
                for owner in self.owners.owners.values()
                for seen in owner.snapshot()
            },
        }

    async def status(self) -> dict[str, Any]:
        """Return the body of ``GET /admin/status``."""
        parts = await self.ask_all("status")
        parts[self.membership.name] = self.own_status()
        entry_vms, observed = [], {}
        for name in self.membership.entry_vms():
            part = dict(parts.get(name) or self.silent_part(name))
            observed.update(part.pop("servers", {}))
            part.pop("served", None)
            entry_vms.append(part)
        return {"entry_vms": entry_vms, "servers": self.servers(observed)}

    def silent_part(self, name: str) -> dict[str, Any]:
        """Return what is known of an entry VM that did not answer."""
        vm = self.membership.view.vms[name]
        return {
            "name": name,
            "failure_domain": vm.failure_domain,
            "region": vm.region,
            "revision": vm.revision,
            "lifecycle": "unreachable",
        }

    def servers(self, observed: dict[str, Any]) -> list[dict[str, Any]]:
        """Return all backend servers with what their owners observe."""
        unknown = {"window": None, "running": None, "queued": None, "version": None}
        return [
            {
                "name": server.name,
                "service": server.service,
                "failure_domain": server.failure_domain,
                "state": str(server.state),
                **observed.get(server.name, unknown),
            }
            for service in self.registry.services()
            for server in sorted(self.registry.servers(service), key=lambda s: s.name)
        ]

    async def shares(self) -> dict[str, Any]:
        """Return the body of ``GET /admin/shares``: entitled against served."""
        served = await self.served_totals()
        services = {}
        for name, service in self.state.sheet.services.items():
            tokens = {
                party: served.get(f"{name}/{party}", 0) for party in service.shares
            }
            total = sum(tokens.values())
            services[name] = {
                party: {
                    "entitled": self.state.entitled_share(name, party),
                    "served_tokens": count,
                    "served_share": count / total if total else 0.0,
                }
                for party, count in tokens.items()
            }
        return {"services": services}

    async def served_totals(self) -> dict[str, int]:
        """Return tokens per ``service/party``; entry VMs that answer are up to date.

        Those that do not answer count with what membership heard last.
        """
        totals = self.membership.served_totals()
        fresh = {n: p["served"] for n, p in (await self.ask_all("status")).items()}
        for name, served in fresh.items():
            known = self.membership.view.vms[name].served
            for key in served.keys() | known.keys():
                gained = served.get(key, 0) - known.get(key, 0)
                totals[key] = totals.get(key, 0) + gained
        return totals

    async def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions on a request on all entry VMs, oldest first."""
        found = list(self.trace.explain(request_id))
        for name, part in (await self.ask_all("explain", request_id)).items():
            found += [
                Decision(at_ms, f"{step} ({name})", detail)
                for at_ms, step, detail in part
            ]
        return sorted(found, key=lambda decision: decision.at_ms)

    async def drain(self, server: str, leaving: bool, operator: str) -> bool:
        """Mark a backend server as leaving, or take the mark back.

        Raises
        ------
        StepError
            This entry VM leaves, and no other one has confirmed the mark.
        """
        mark = self.registry.mark(server, leaving, f"operator {operator}")
        if mark is None:
            return False
        if self.lifecycle() != "ready" and not await self.entrust(mark):
            raise StepError(
                "drain.entrust",
                server,
                "this entry VM leaves and no other one has confirmed the mark; "
                "repeat it at another entry VM",
            )
        return True

    async def entrust(self, mark: ServerMark) -> bool:
        """Hand a mark to entry VMs that stay; tell whether one has it."""
        ready = self.membership.ready_peers()
        chosen = random.sample(ready, min(ENTRUSTED_PEERS, len(ready)))
        for peer in chosen:
            self.membership.ensure_link(peer)
        return await self.marks.replicate(mark, chosen)


async def run_periodically(
    clock: Clock, interval_ms: float, action: Callable[[], Any]
) -> None:
    """Run an action again and again; a step error does not end the repetition."""
    while True:
        await clock.sleep_ms(interval_ms)
        try:
            result = action()
            if asyncio.iscoroutine(result):
                await result
        except StepError:
            continue
