"""Propagation of strikes to all entry VMs."""

from msgspec.structs import replace

from ..crashes import StrikeRegistry
from ..membership import Membership
from ..outcomes import StepError
from ..peers import PeerBus
from ..peers.messages import Message, StrikeReport

ACK_TIMEOUT_MS = 700  # a relay first waits up to 400 ms for its own domain
RELAY_ACK_TIMEOUT_MS = 400
RELAYS_PER_DOMAIN = 2  # entry VMs of each other domain that relay a report


class StrikePropagator:
    """Sends crash reports to all entry VMs and applies received ones.

    Members of the failure domain receive a report directly, other domains through two
    of their entry VMs as relays. The response to the caller waits for the
    acknowledgements, because a copy of the request that is sent to another domain right
    after the response must find the strike there.

    Parameters
    ----------
    bus : PeerBus
        Links to peers.
    membership : Membership
        View of the entry VMs.
    """

    def __init__(self, bus: PeerBus, membership: Membership) -> None:
        self.bus = bus
        self.membership = membership
        self.strike_registry: StrikeRegistry | None = None
        bus.on(StrikeReport, self.on_report)

    async def publish(self, report: StrikeReport) -> bool:
        """Send a report to the members and relays; return whether all acknowledged it.

        Waits until each of them has replied or failed; each has `ACK_TIMEOUT_MS` to
        reply.
        Returns False if there is no other entry VM.
        """
        members = self.membership.members()
        relays = [
            vm.name
            for vms in self.membership.gossip.domains().values()
            for vm in vms[:RELAYS_PER_DOMAIN]
        ]
        for name in relays:
            self.membership.ensure_link(name)
        relayed = replace(report, relay=True)
        replies = await self.bus.broadcast_each(
            {name: report for name in members} | {name: relayed for name in relays},
            ACK_TIMEOUT_MS,
        )
        return bool(replies) and not any(
            isinstance(reply, StepError) for reply in replies.values()
        )

    async def on_report(self, message: Message) -> None:
        """Apply a peer's report, and relay it to the domain if requested."""
        assert isinstance(message, StrikeReport) and self.strike_registry is not None
        self.strike_registry.apply(message)
        if message.relay:
            members = self.membership.members()
            report = replace(message, relay=False)
            await self.bus.broadcast(members, report, RELAY_ACK_TIMEOUT_MS)
