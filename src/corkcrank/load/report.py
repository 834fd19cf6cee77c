"""Summarizes a load run: attainment by tier, results by code, cost by stage."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.caller import CONNECTION_LOST, CallerRecord


@dataclass(frozen=True, slots=True)
class TierLine:
    """One tier's line; times are in seconds."""

    tier: str
    requests: int
    attained: int
    median_seconds: float
    p95_seconds: float

    @property
    def attainment(self) -> float:
        """Return the share of requests answered completely within their deadline."""
        return self.attained / max(1, self.requests)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The figures of one load run."""

    tiers: tuple[TierLine, ...]
    codes: tuple[tuple[str, int], ...]
    costs: tuple[tuple[str, float], ...]
    wrong: int
    requests: int
    attained: int

    @property
    def attainment(self) -> float:
        """Return the share of all requests answered completely within their deadline."""
        return self.attained / max(1, self.requests)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; zero for none.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def make_report(records: Sequence[CallerRecord]) -> LoadReport:
    """Return the report of a run."""
    tiers = sorted({record.arrival.tenant.tier for record in records})
    codes = Counter(_code_name(record.code) for record in records)
    costs: Counter[str] = Counter()
    for record in records:
        for service, cost in record.costs.items():
            costs[service] += cost  # type: ignore[assignment]
    return LoadReport(
        tiers=tuple(_tier_line(tier, records) for tier in tiers),
        codes=tuple(sorted(codes.items())),
        costs=tuple(sorted((service, float(cost)) for service, cost in costs.items())),
        wrong=sum(record.wrong for record in records),
        requests=len(records),
        attained=sum(record.attained for record in records),
    )


def _tier_line(tier: str, records: Sequence[CallerRecord]) -> TierLine:
    chosen = [record for record in records if record.arrival.tenant.tier == tier]
    seconds = [record.seconds for record in chosen if record.whole]
    return TierLine(
        tier=tier,
        requests=len(chosen),
        attained=sum(record.attained for record in chosen),
        median_seconds=percentile(seconds, 0.5),
        p95_seconds=percentile(seconds, 0.95),
    )


def _code_name(number: int) -> str:
    if number == CONNECTION_LOST:
        return "no final answer"
    return next(code.name for code in ResultCode if code.number == number)


def format_report(report: LoadReport) -> str:
    """Return the report as a short table."""
    lines = [f"{'tier':<12}{'requests':>9}{'attained':>10}{'median s':>10}{'p95 s':>8}"]
    lines += [
        f"{line.tier:<12}{line.requests:>9}{line.attainment:>10.1%}"
        f"{line.median_seconds:>10.3f}{line.p95_seconds:>8.3f}"
        for line in report.tiers
    ]
    lines.append(f"{'all':<12}{report.requests:>9}{report.attainment:>10.1%}")
    lines.append("results: " + ", ".join(f"{name} {count}" for name, count in report.codes))
    lines.append(f"wrong answers: {report.wrong}")
    lines.append(f"{'stage':<20}{'cost':>10}{'per request':>14}")
    lines += [
        f"{service:<20}{cost:>10.2f}{cost / max(1, report.requests):>14.4f}"
        for service, cost in report.costs
    ]
    return "\n".join(lines)
