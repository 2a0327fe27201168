"""How often an entry VM asks for the changes of a table that changes all the time."""

# Shortest pause between two calls that both brought rows.
MIN_FEED_PAUSE_MS = 60.0
# Sites have about a tenth as many entry VMs as servers, and their store answers 2,000
# reads a second, for three tables that change all the time. At 0.3 ms a server 100
# entry VMs with 1,000 servers make half as many calls.
FEED_PAUSE_MS_PER_SERVER = 0.3
# Longest pauses. New work must be off a leaving server within 2.5 s of its listing;
# a batch handed over must be claimed within 450 ms, and a right be seen by the next
# slot of claims but one.
MAX_LISTING_PAUSE_MS = 600.0
MAX_FEED_PAUSE_MS = 250.0


def feed_pause_ms(servers: int, max_pause_ms: float = MAX_FEED_PAUSE_MS) -> float:
    """Return the pause between two calls in ms, for a number of listed servers."""
    return min(max_pause_ms, max(MIN_FEED_PAUSE_MS, FEED_PAUSE_MS_PER_SERVER * servers))
