"""Requests that an entry VM cut off from the servers passes on to another entry VM."""

from .announcement import Announcement
from .entry_vms import EntryVms
from .helper_probes import HelperProbes
from .receiver import RelayedAnswer, RelayReceiver
from .relay_pool import RelayPool
from .relayed_runs import RelayedRuns
from .standby import Standby

__all__ = [
    "Announcement",
    "EntryVms",
    "HelperProbes",
    "RelayPool",
    "RelayReceiver",
    "RelayedAnswer",
    "RelayedRuns",
    "Standby",
]
