"""Retry budget: limits retries to a share of recent first attempts."""

RETRY_SHARE = 0.1
"""Number of retries added to the budget by each first attempt."""

MAX_RETRY_BALANCE = 10.0
"""Maximum and initial number of retries in a budget."""


class RetryBudget:
    """The remaining retries of one gateway for one service."""

    def __init__(self, share: float = RETRY_SHARE, reserve: float = MAX_RETRY_BALANCE) -> None:
        self._share = share
        self._reserve = reserve
        self.balance = reserve
        self.spent = 0
        self.first_attempts = 0

    def record_first_attempt(self) -> None:
        """Record a first attempt, which adds a share of a retry to the budget."""
        self.first_attempts += 1
        self.balance = min(self._reserve, self.balance + self._share)

    def try_spend(self) -> bool:
        """Spend one retry if the budget allows it.

        >>> budget = RetryBudget(reserve=1.0)
        >>> budget.try_spend(), budget.try_spend()
        (True, False)
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        self.spent += 1
        return True

    def validate(self) -> None:
        """Check that the retries do not exceed their limit."""
        assert self.spent <= self._reserve + self._share * self.first_attempts
