"""Access to the platform's store: transactions and followed tables."""

from .group_commit import CommitCounts, GroupCommit
from .settled_transaction import transact_settled

__all__ = ["CommitCounts", "GroupCommit", "transact_settled"]
