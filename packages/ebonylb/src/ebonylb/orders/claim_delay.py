"""When an entry VM claims the right to order servers that have no holder.

Entry VMs do not know how many they are. If each waited for a time drawn evenly from one
span, the claims within the delay of the store would grow with their number. Here half
of them wait for all slots, half of the others one slot less, and so on: the first slot
in which anyone claims has one or two of them, whatever their number.
"""

from xxhash import xxh64_intdigest

# A claim of one slot is seen before the next slot begins: a write and a read of the
# store (25 ms each, 40 ms across regions) and a part of the duty's step of 100 ms.
SLOT_MS = 150.0
# A site with this many servers gets one slot, with twice as many two. Sites have up to
# a third as many entry VMs as servers, of which a single slot takes two.
SERVERS_PER_SLOT = 4


def claim_delay_ms(group: str, name: str, servers: int) -> float:
    """Return how long an entry VM leaves the claim of a group to others, in ms.

    Parameters
    ----------
    group, name : str
        Group of servers and entry VM; the same pair always gets the same draw.
    servers : int
        Known servers, which tell how large the site is.
    """
    slots = (servers // SERVERS_PER_SLOT).bit_length()
    draw = xxh64_intdigest(f"{group}/{name}".encode())
    trailing_zeros = (draw & -draw).bit_length() - 1
    slot = slots - min(slots, trailing_zeros)
    # The upper half of the draw is independent of its trailing zeros.
    position_in_slot = (draw >> 32) % 1_000 / 1_000
    return (slot + position_in_slot) * SLOT_MS
