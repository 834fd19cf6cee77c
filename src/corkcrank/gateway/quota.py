"""Tenant quotas: each gateway enforces its share of the tenant's global rate.

The load balancer spreads a tenant's requests evenly, so the share is the quota divided by the
number of live gateways. A gateway without known peers uses the whole quota.
"""


class TokenBucket:
    """A rate limiter that refills continuously."""

    def __init__(self, now: float) -> None:
        self._level: float | None = None
        self._filled_at = now

    def seconds_until_token(self, rate: float, burst: float, now: float) -> float:
        """Take one token and return zero, or return the seconds until one is available.

        Parameters
        ----------
        rate
            Tokens per second.
        burst
            Size of the bucket, at least one.
        now
            Monotonic seconds.

        """
        level = burst if self._level is None else self._level
        level = min(burst, level + max(0.0, now - self._filled_at) * rate)
        self._filled_at = now
        if level >= 1.0:
            self._level = level - 1.0
            return 0.0
        self._level = level
        return (1.0 - level) / rate


class TenantQuotas:
    """The token buckets of all tenants at one gateway."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def seconds_until_admission(
        self, tenant: str, rate: float, burst: float, gateways: int, now: float
    ) -> float:
        """Count the request and return zero, or return the seconds to wait before a retry."""
        bucket = self._buckets.setdefault(tenant, TokenBucket(now))
        share = 1.0 / max(1, gateways)
        return bucket.seconds_until_token(rate * share, max(1.0, burst * share), now)
