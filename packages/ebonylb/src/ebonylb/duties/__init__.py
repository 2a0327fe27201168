"""Duties towards the platform: each call is made by one entry VM at a time."""

from .call_budget import CallBudget
from .duty import Duty, DutySource
from .runner import DutyRunner

__all__ = ["CallBudget", "Duty", "DutyRunner", "DutySource"]
