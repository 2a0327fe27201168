"""Messaging between entry VMs: bus, links and message types."""

from .bus import CurveKeys, PeerBus

__all__ = ["CurveKeys", "PeerBus"]
