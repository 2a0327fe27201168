"""Duties towards the platform: each call is made by one entry VM at a time."""

from .duty import Duty, DutySource

__all__ = ["Duty", "DutySource"]
