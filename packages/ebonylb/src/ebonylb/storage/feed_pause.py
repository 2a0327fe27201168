"""Pause between reads of the change feed of a table that changes continuously."""

# Minimum pause between two calls that both returned rows.
MIN_FEED_PAUSE_MS = 60.0
# Sites have about a tenth as many entry VMs as servers. Their store serves 2,000
# reads/s and has three tables that change continuously. With 0.3 ms per server, 100
# entry VMs with 1,000 servers make half of these reads.
FEED_PAUSE_MS_PER_SERVER = 0.3
# Entry VMs must stop sending new work to a leaving server within 2.5 s of its listing.
# A batch that is handed over must be claimed within 450 ms, and a claimed order lease
# must be seen by the second next claim slot.
MAX_LISTING_PAUSE_MS = 600.0
MAX_FEED_PAUSE_MS = 250.0


def feed_pause_ms(servers: int, max_pause_ms: float = MAX_FEED_PAUSE_MS) -> float:
    """Return the pause between two calls, for the number of listed servers."""
    return min(max_pause_ms, max(MIN_FEED_PAUSE_MS, FEED_PAUSE_MS_PER_SERVER * servers))
