"""Leases: which entry VM may act on a subject, one row of the store for each."""

from .claim_delay import claim_delay_ms
from .table import Lease, LeaseTable, SendPermit, make_subject

__all__ = ["Lease", "LeaseTable", "SendPermit", "claim_delay_ms", "make_subject"]
