"""Budgets for repeated work and the rule for second copies."""

from .budget import RetryBudget
from .hedging import AttemptProgress, should_hedge

__all__ = ["AttemptProgress", "RetryBudget", "should_hedge"]
