"""Calls to the platform that are the duty of one entry VM at a time."""

from .duty import Duty, DutySource

__all__ = ["Duty", "DutySource"]
