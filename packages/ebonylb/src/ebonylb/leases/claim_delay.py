"""Delay before an entry VM claims a lease that has no holder.

Entry VMs do not know how many entry VMs there are. With uniformly distributed delays,
the number of claims within one round trip to the store would grow with the number of
entry VMs. Delays are therefore distributed geometrically over slots: half of the entry
VMs wait for all slots, half of the rest one slot less, and so on. The first slot with a
claim then has one or two claims, whatever the number of entry VMs.
"""

from xxhash import xxh64_intdigest

# Other entry VMs see a claim before the next slot begins: a write and a read of the
# store take 25 ms each (40 ms across regions), and claims are considered every 100 ms.
SLOT_MS = 150.0
# A site with this many servers has one slot; each doubling adds one. A site has up to
# a third as many entry VMs as servers, and about two of them fit into one slot.
SERVERS_PER_SLOT = 4


def claim_delay_ms(subject: str, name: str, servers: int) -> float:
    """Return how long an entry VM waits before it claims a lease, in ms.

    Parameters
    ----------
    subject, name : str
        Subject of the lease and entry VM; the delay of a pair is always the same.
    servers : int
        Number of known servers, a measure of the size of the site.
    """
    slots = (servers // SERVERS_PER_SLOT).bit_length()
    hash_value = xxh64_intdigest(f"{subject}/{name}".encode())
    trailing_zeros = (hash_value & -hash_value).bit_length() - 1
    slot = slots - min(slots, trailing_zeros)
    # The upper half of the hash is independent of its trailing zeros.
    position_in_slot = (hash_value >> 32) % 1_000 / 1_000
    return (slot + position_in_slot) * SLOT_MS
