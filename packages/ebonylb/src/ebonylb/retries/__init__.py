"""Budgets for retries and hedges, and the rule for hedging."""

from .budget import RetryBudget
from .hedging import AttemptProgress, should_hedge

__all__ = ["AttemptProgress", "RetryBudget", "should_hedge"]
