"""Token buckets that limit the extra load from retries and hedges."""

EARNED_PER_ATTEMPT = 0.08  # keeps the extra load below the target of 10%
RETRY_COST = 1.0  # all balances are counted in retries
MAX_BALANCE = 10.0
INITIAL_BALANCE = 2.0


class RetryBudget:
    """Token bucket per (party, service), filled by a fraction per first attempt.

    Parameters
    ----------
    earned_per_attempt : float
        Fraction of a retry that each first attempt adds to the balance.
    """

    def __init__(self, earned_per_attempt: float = EARNED_PER_ATTEMPT) -> None:
        self.earned_per_attempt = earned_per_attempt
        self.balances: dict[tuple[str, str], float] = {}
        self.spent_count = 0
        self.refused_count = 0

    def record_first_attempt(self, party: str, service: str) -> None:
        """Add the credit for a first attempt to the balance."""
        balance = self.balances.get((party, service), INITIAL_BALANCE)
        self.balances[(party, service)] = min(
            MAX_BALANCE, balance + self.earned_per_attempt
        )

    def try_spend(self, party: str, service: str) -> bool:
        """Charge one retry or hedge; return False if the balance does not allow it."""
        balance = self.balances.get((party, service), INITIAL_BALANCE)
        if balance < RETRY_COST:
            self.refused_count += 1
            return False
        self.balances[(party, service)] = balance - RETRY_COST
        self.spent_count += 1
        return True
