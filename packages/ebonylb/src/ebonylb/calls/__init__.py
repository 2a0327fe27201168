"""Non-idempotent calls: issued keys, claims and the journal of responses."""

from .claims import ClaimStore
from .journal import Journal
from .keys import IssuedKey, KeyIssuer
from .peer_interface import CallPeers
from .service import CallService

__all__ = [
    "CallPeers",
    "CallService",
    "ClaimStore",
    "IssuedKey",
    "Journal",
    "KeyIssuer",
]
