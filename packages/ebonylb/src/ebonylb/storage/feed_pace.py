"""How often an entry VM asks for the changes of a table that changes all the time."""

# Shortest pause between two calls that both brought rows.
PACE_MS = 60.0
# Sites have about a tenth as many entry VMs as servers, and their store answers 2,000
# reads a second, for three tables that change all the time. At 0.3 ms a server 100
# entry VMs with 1,000 servers make half as many calls.
PACE_MS_PER_SERVER = 0.3
# Longest pauses. New work must be off a leaving server within 2.5 s of its listing;
# a batch handed over must be claimed within 450 ms, and a right be seen by the next
# slot of claims but one.
LONGEST_LISTING_PACE_MS = 600.0
LONGEST_PACE_MS = 250.0


def feed_pace_ms(servers: int, longest_ms: float = LONGEST_PACE_MS) -> float:
    """Return the pause between two calls in ms, for a number of listed servers."""
    return min(longest_ms, max(PACE_MS, PACE_MS_PER_SERVER * servers))
