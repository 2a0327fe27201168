"""Gossip of heartbeats between failure domains."""

import logging
import random
from typing import TYPE_CHECKING

from ..outcomes import StepError
from ..peers.messages import Digests, Heartbeat, encode
from .rendezvous import highest_score
from .view import EntryVm

if TYPE_CHECKING:
    from .controller import Membership

logger = logging.getLogger(__name__)

# Relayed heartbeats in one message, in addition to the sender's own. With two requests
# and about two replies every 5 s this is 0.3 KB/s. Smaller sites never reach the limit.
MAX_GOSSIP_BYTES = 400
MAX_JOIN_BYTES = 32_000  # first exchange with a new VM, for all known entry VMs
REFRESH_INTERVAL_MS = 60_000  # unchanged state is resent to renew its age
MAX_OUTSIDE_LINKS = 16  # links to other domains; idle ones beyond it are closed


class Gossip:
    """Exchanges heartbeats with partners in other failure domains.

    The domains form a ring in name order. Partners are in the domains at distance
    1, 2, 4, ... on the ring, so each VM has at most log2(domains) + 1 partners and
    a change crosses the ring in as many steps. One of the two exchanges of a round
    goes to another domain of the same region if there is one, because its load
    matters most. `partner_versions` holds the heartbeat versions that each partner
    is known to have, so that only newer ones are sent.

    Parameters
    ----------
    membership : Membership
        Provides the view, the bus and this VM's heartbeat.
    """

    def __init__(self, membership: "Membership") -> None:
        self.membership = membership
        self.round = random.randrange(64)
        self.partner_versions: dict[str, dict[str, tuple[str, int, float]]] = {}

    async def run(self) -> None:
        """Exchange heartbeats with the partners of each round until cancelled."""
        membership = self.membership
        while True:
            delay_ms = membership.timing.gossip_ms * random.uniform(0.8, 1.2)
            await membership.clock.sleep_ms(delay_ms)
            partners = self.partners()
            self.round += 1
            for partner in partners:
                await self.exchange(partner)
            membership.on_gossip_round(partners)

    def domains(self) -> dict[str, list[EntryVm]]:
        """Return the reachable VMs of the other failure domains, by domain."""
        now_ms = self.membership.clock.monotonic_ms()
        domains: dict[str, list[EntryVm]] = {}
        for vm in self.membership.view.vms.values():
            is_other_domain = vm.failure_domain != self.membership.failure_domain
            if is_other_domain and vm.alive and vm.unreachable_until_ms <= now_ms:
                domains.setdefault(vm.failure_domain, []).append(vm)
        return domains

    def partners(self) -> list[str]:
        """Return the names of this round's partners, at most two."""
        domains = self.domains()
        chosen = choose_domains(
            self.membership.failure_domain,
            self.membership.region,
            {domain: vms[0].region for domain, vms in domains.items()},
            self.round,
        )
        names = []
        for domain in chosen:
            members = [vm.name for vm in domains[domain]]
            name = highest_score(self.membership.name, members)
            assert name is not None
            names.append(name)
        return names

    async def exchange(self, partner: str) -> bool:
        """Exchange digests with a partner; return whether it replied."""
        membership = self.membership
        membership.ensure_link(partner)
        is_first = partner not in self.partner_versions
        message = Digests(
            self.select(partner, MAX_JOIN_BYTES if is_first else MAX_GOSSIP_BYTES)
        )
        try:
            reply = await membership.bus.request(partner, message)
        except StepError as error:
            logger.info("digests not exchanged: %s", error)
            self.partner_versions.pop(partner, None)
            membership.report_unreachable(partner)
            return False
        if isinstance(reply, Digests):
            self.receive(reply)
        self.drop_removed_vms()
        await self.close_idle_links()
        return True

    async def on_digests(self, message: Digests) -> Digests:
        """Merge a partner's digests and return digests for it; handler of `Digests`."""
        if not message.heartbeats:
            return Digests()
        partner = message.heartbeats[0].entry_vm
        is_first = partner not in self.partner_versions
        self.receive(message)
        return Digests(
            self.select(partner, MAX_JOIN_BYTES if is_first else MAX_GOSSIP_BYTES)
        )

    def receive(self, message: Digests) -> None:
        """Merge received heartbeats, of which the first is the sender's own."""
        if not message.heartbeats:
            return
        partner = message.heartbeats[0].entry_vm
        versions = self.partner_versions.setdefault(partner, {})
        now_ms = self.membership.clock.monotonic_ms()
        for position, heartbeat in enumerate(message.heartbeats):
            versions[heartbeat.entry_vm] = (
                heartbeat.incarnation,
                heartbeat.sequence,
                now_ms - heartbeat.age_ms,
            )
            if heartbeat.entry_vm == self.membership.name:
                self.membership.on_own_newer_incarnation(heartbeat.incarnation)
            elif position == 0:
                self.membership.receive_heartbeat(heartbeat)
            else:
                self.membership.receive_relayed(heartbeat)

    def select(self, partner: str, limit_bytes: int) -> list[Heartbeat]:
        """Return this VM's heartbeat and the most useful heartbeats of other VMs.

        Those of other VMs have at most `limit_bytes` together. Heartbeats with a new
        address, lifecycle, incarnation or revision go first, then those of which the
        partner has the oldest version.
        """
        now_ms = self.membership.clock.monotonic_ms()
        versions = self.partner_versions.setdefault(partner, {})
        partner_vm = self.membership.view.vms.get(partner)
        partner_domain = partner_vm.failure_domain if partner_vm is not None else ""
        candidates = []
        for vm in self.membership.view.vms.values():
            # Once the partner knows the members of its own domain, it gets their
            # heartbeats directly.
            is_heard_directly = (
                vm.failure_domain == partner_domain and limit_bytes != MAX_JOIN_BYTES
            )
            if vm.name == partner or is_heard_directly or vm.sequence < 0:
                continue
            incarnation, sequence, made_ms = versions.get(
                vm.name, ("", -1, -REFRESH_INTERVAL_MS)
            )
            is_urgent = incarnation < vm.incarnation or sequence < vm.urgent_sequence
            if vm.incarnation == incarnation and vm.sequence <= sequence:
                continue
            if (
                is_urgent
                or sequence < vm.changed_sequence
                or vm.heartbeat_made_ms - made_ms >= REFRESH_INTERVAL_MS
            ):
                candidates.append((not is_urgent, made_ms, vm))
        candidates.sort(key=lambda item: item[:2])
        chosen = [self.membership.own_heartbeat()]
        size = 0
        for is_routine, _, vm in candidates:
            heartbeat = vm.heartbeat(now_ms)
            if not is_routine:
                # Urgent changes must fit even when many VMs change at once. The
                # receiver keeps the served tokens that it has.
                heartbeat.served = {}
            size += len(encode(heartbeat))
            if size > limit_bytes:
                break
            chosen.append(heartbeat)
            versions[vm.name] = (vm.incarnation, vm.sequence, vm.heartbeat_made_ms)
        return chosen

    def drop_removed_vms(self) -> None:
        """Drop the versions kept for partners and VMs that left the view."""
        vms = self.membership.view.vms
        for partner in [name for name in self.partner_versions if name not in vms]:
            del self.partner_versions[partner]
        for versions in self.partner_versions.values():
            for name in [name for name in versions if name not in vms]:
                if name != self.membership.name:
                    del versions[name]

    async def close_idle_links(self) -> None:
        """Close idle links to other domains in excess of `MAX_OUTSIDE_LINKS`."""
        bus, vms = self.membership.bus, self.membership.view.vms
        outside_links = [
            name
            for name in bus.links
            if name in vms
            and vms[name].failure_domain != self.membership.failure_domain
        ]
        partners = set(self.partners())
        for name in outside_links[: max(0, len(outside_links) - MAX_OUTSIDE_LINKS)]:
            if name not in partners and not bus.links[name].pending_calls:
                await bus.disconnect(name)


def choose_domains(
    own: str, region: str, regions: dict[str, str], round_number: int
) -> list[str]:
    """Return the domains to exchange with in one round, at most two.

    Parameters
    ----------
    own, region : str
        Failure domain and region of this VM.
    regions : dict of str to str
        Region of each other reachable domain.
    round_number : int
        Number of the round.
    """
    other_domains = sorted(regions)
    if len(other_domains) <= 2:
        return other_domains
    ring = sorted([*other_domains, own])
    own_index = ring.index(own)
    distance_count = (len(ring) - 1).bit_length()
    same_region = [domain for domain in other_domains if regions[domain] == region]
    distant = ring[(own_index + 2 ** (round_number % distance_count)) % len(ring)]
    if same_region:
        first = same_region[round_number % len(same_region)]
    else:
        first = ring[
            (own_index + 2 ** ((round_number + distance_count // 2) % distance_count))
            % len(ring)
        ]
    return sorted({first, distant} - {own})
