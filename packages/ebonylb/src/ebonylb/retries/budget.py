"""Token buckets that bound the load from retries and hedges."""

EARNED_PER_ATTEMPT = 0.08  # per first attempt; keeps the extra load under the 10% aim
RETRY_COST = 1.0
MAX_BALANCE = 10.0
INITIAL_BALANCE = 2.0


class RetryBudget:
    """One bucket per (party, service); each first attempt earns a part of a retry.

    Parameters
    ----------
    earned : float
        Part of a retry that each first attempt earns.
    """

    def __init__(self, earned_per_attempt: float = EARNED_PER_ATTEMPT) -> None:
        self.earned_per_attempt = earned_per_attempt
        self.balances: dict[tuple[str, str], float] = {}
        self.spent_count = 0
        self.refused_count = 0

    def record_first_attempt(self, party: str, service: str) -> None:
        """Earn for a first attempt."""
        balance = self.balances.get((party, service), INITIAL_BALANCE)
        self.balances[(party, service)] = min(
            MAX_BALANCE, balance + self.earned_per_attempt
        )

    def try_spend(self, party: str, service: str) -> bool:
        """Pay for one retry or hedge; False means that it must not be made."""
        balance = self.balances.get((party, service), INITIAL_BALANCE)
        if balance < RETRY_COST:
            self.refused_count += 1
            return False
        self.balances[(party, service)] = balance - RETRY_COST
        self.spent_count += 1
        return True

    def refund(self, party: str, service: str) -> None:
        """Return the cost of a paid attempt that was never started."""
        balance = self.balances.get((party, service), INITIAL_BALANCE)
        self.balances[(party, service)] = min(MAX_BALANCE, balance + RETRY_COST)
        self.spent_count -= 1
