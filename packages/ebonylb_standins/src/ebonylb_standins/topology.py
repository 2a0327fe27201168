"""Descriptions of sites: failure domains, entry VMs, backend servers, parties."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class EntryVmSpec:
    """Name and failure domain of an entry VM."""

    name: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """Name, service and failure domain of a backend server."""

    name: str
    service: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Topology:
    """Machines and parties of a site.

    Parameters
    ----------
    name : str
        Name of the site.
    regions : dict
        Region by failure domain.
    entry_vms : tuple of EntryVmSpec
        Entry VMs.
    engines, plain_services : tuple of ServerSpec
        Backend servers.
    parties : tuple of str
        Names of the parties: trainers, then the desk.
    store_region : str
        Region of the weight store.
    profile : str
        Name of the policy profile; see `ebonylb.settings.Policy`.
    """

    name: str
    regions: dict[str, str]
    entry_vms: tuple[EntryVmSpec, ...]
    engines: tuple[ServerSpec, ...]
    plain_services: tuple[ServerSpec, ...]
    parties: tuple[str, ...]
    store_region: str
    profile: str

    @property
    def engine_service(self) -> str:
        """Return the service of the engines."""
        return self.engines[0].service

    @property
    def plain_service(self) -> str:
        """Return the service of the plain servers."""
        return self.plain_services[0].service


# Delays and bandwidth between the parts of a site, for tests that simulate them.
ONE_WAY_MS = {"domain": 1.0, "region": 12.0, "client": 3.0}
CROSS_REGION_BITS_PER_S = 225_000_000


def entry_vms(**counts: int) -> tuple[EntryVmSpec, ...]:
    """Return entry VMs from counts by failure domain; underscores become hyphens."""
    return tuple(
        EntryVmSpec(f"entry-{domain.replace('_', '-')}-{number}", domain)
        for domain, number in list_machines(counts)
    )


def servers(service: str, **counts: int) -> tuple[ServerSpec, ...]:
    """Return backend servers of a service from counts by failure domain."""
    return tuple(
        ServerSpec(f"{service}-{domain}-{number}", service, domain)
        for domain, number in list_machines(counts)
    )


def list_machines(counts: dict[str, int]) -> list[tuple[str, int]]:
    """Return the failure domain and number of each machine, numbered from 1."""
    return [
        (domain.replace("_", "-"), number)
        for domain, count in counts.items()
        for number in range(1, count + 1)
    ]


ABAY = Topology(
    name="abay",
    regions={"gorge-north": "gorge", "gorge-south": "gorge", "highland-a": "highland"},
    entry_vms=entry_vms(gorge_north=4, gorge_south=3, highland_a=3),
    engines=servers("kiln-lm", gorge_north=2, gorge_south=2, highland_a=1),
    plain_services=servers("booking-desk", gorge_north=1, gorge_south=1, highland_a=1),
    parties=("trainer-lime", "trainer-slate", "bookings"),
    store_region="gorge",
    profile="idle_time",
)

SONG_HUONG = Topology(
    name="song-huong",
    regions={"hue-a": "hue", "hue-b": "hue", "danang-a": "danang"},
    entry_vms=entry_vms(hue_a=4, hue_b=3, danang_a=3),
    engines=servers("lm-pool", hue_a=2, hue_b=2, danang_a=1),
    plain_services=servers("ticket-app", hue_a=1, hue_b=1, danang_a=1),
    parties=("trainer-river", "trainer-perfume", "tickets"),
    store_region="hue",
    profile="tail_latency",
)


def reduce_site(
    site: Topology, entry_count: int = 3, engine_count: int = 3
) -> Topology:
    """Return a site reduced to its first two failure domains, for tests.

    Entry VMs and engines alternate between the two domains. One plain server remains.
    """
    domains = list(site.regions)[:2]

    def alternate(machines: tuple, count: int) -> tuple:
        by_domain = [
            [machine for machine in machines if machine.failure_domain == domain]
            for domain in domains
        ]
        max_group_size = max(map(len, by_domain))
        alternating = [
            group[index]
            for index in range(max_group_size)
            for group in by_domain
            if index < len(group)
        ]
        return tuple(alternating[:count])

    return replace(
        site,
        regions={domain: site.regions[domain] for domain in domains},
        entry_vms=alternate(site.entry_vms, entry_count),
        engines=alternate(site.engines, engine_count),
        plain_services=alternate(site.plain_services, 1),
    )
