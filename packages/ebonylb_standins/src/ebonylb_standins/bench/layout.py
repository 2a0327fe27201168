"""Sizes and delays of the two sites, design 1.4."""

from dataclasses import dataclass

CLIENT_MS, DOMAIN_MS, REGION_MS = 3.0, 1.0, 12.0  # one-way delays


@dataclass(frozen=True, slots=True)
class Domain:
    """One failure domain.

    Parameters
    ----------
    entry_vms, engines, plain_services : int
        Numbers of each. Design 1.4 gives only the totals of a site.
    """

    name: str
    region: str
    entry_vms: int
    engines: int
    plain_services: int


SITES = {
    "abay": (
        Domain("gorge-north", "gorge", 4, 2, 1),
        Domain("gorge-south", "gorge", 3, 2, 1),
        Domain("highland-a", "highland", 3, 1, 1),
    ),
    "song-huong": (
        Domain("hue-a", "hue", 3, 2, 1),
        Domain("hue-b", "hue", 3, 1, 1),
        Domain("danang-a", "danang", 3, 2, 1),
    ),
}


def delay_ms(source: Domain, destination: Domain) -> float:
    """Return the one-way delay between VMs of two failure domains."""
    return DOMAIN_MS if source.region == destination.region else REGION_MS
