"""Runs of the policy bench and their summary.

The functions that worker processes run are here because workers import them by
module name, which does not work with ``__main__``.
"""

from dataclasses import dataclass
from functools import partial
from statistics import median

from . import scenarios, site_steps, trainers
from .layout import SITES
from .site_steps import SiteTrial
from .trial import Trial

PROFILES = ("balanced", "idle_time", "tail_latency")
COLUMNS = ("baseline", *PROFILES)


@dataclass(frozen=True, slots=True)
class Row:
    """Scenario with its target, a row of the printed table.

    Attributes
    ----------
    run : callable
        Scenario function, which takes a function that builds a trial.
    target_metric, target : str
        Metric with a target in design 1.2, and that target.
    uses_profiles : bool
        Whether the scenario runs with each profile; otherwise with ``balanced`` only.
    trial : type
        `Trial` for callers of the project's own interface, `SiteTrial` for trainers
        on the users' platform.
    """

    run: object
    target_metric: str
    target: str
    uses_profiles: bool = True
    trial: type = Trial


ROWS = {
    "trainer_steps": Row(trainers.trainer_steps, "excess", "<= 0.05"),
    "stale_samples": Row(trainers.stale_samples, "discarded", "< 0.02"),
    "short_beside_long": Row(scenarios.short_beside_long, "ratio", "<= 1.5"),
    "slow_server": Row(scenarios.slow_server, "ratio", "<= 1.3"),
    "fairness": Row(scenarios.fairness, "jain", ">= 0.98", False),
    "failing_calls": Row(scenarios.failing_calls, "extra", "<= 0.10", False),
    "cross_region": Row(scenarios.cross_region, "part", "< 0.01", False),
    "step_with_slow_engine": Row(
        site_steps.step_with_slow_engine, "ratio", "<= 1.3", False, SiteTrial
    ),
    "step_with_lost_engines": Row(
        site_steps.step_with_lost_engines, "ratio", "", False, SiteTrial
    ),
    "step_with_loads": Row(site_steps.step_with_loads, "ratio", "", False, SiteTrial),
    "steps_due_together": Row(
        site_steps.steps_due_together, "longest_s", "", False, SiteTrial
    ),
}


@dataclass(frozen=True, slots=True)
class Job:
    """One run of a scenario: its site, the routing of one column, and a seed."""

    name: str
    site: str
    column: str
    seed: int


def run_one(job):
    """Run a job and return its metrics."""
    kind = "baseline" if job.column == "baseline" else "policy"
    profile = "balanced" if job.column == "baseline" else job.column
    row = ROWS[job.name]
    return row.run(partial(row.trial, job.site, kind, profile, job.seed))


def jobs_for(names, seeds, sites=tuple(SITES), columns=COLUMNS):
    """Return the jobs for all combinations, with seeds from 1 to `seeds`."""
    return [
        Job(name, site, column, seed)
        for name in names
        for site in sites
        for column in columns
        if ROWS[name].uses_profiles or column in COLUMNS[:2]
        for seed in range(1, seeds + 1)
    ]


def summarise(jobs, results):
    """Return minimum, median and maximum of each metric.

    Returns
    -------
    dict
        ``{scenario: {site: {metric: {column: {"min", "median", "max"}}}}}``
    """
    values = {}
    for job, result in zip(jobs, results, strict=True):
        site_values = values.setdefault(job.name, {}).setdefault(job.site, {})
        for metric, value in result.items():
            site_values.setdefault(metric, {}).setdefault(job.column, []).append(value)
    return {
        name: {
            site: {
                metric: {
                    column: {
                        "min": min(samples),
                        "median": median(samples),
                        "max": max(samples),
                    }
                    for column, samples in columns.items()
                }
                for metric, columns in metrics.items()
            }
            for site, metrics in sites.items()
        }
        for name, sites in values.items()
    }


def table(summary):
    """Return the summary as a Markdown table: minimum / median / maximum."""
    columns = next(
        list(row)
        for sites in summary.values()
        for metrics in sites.values()
        for row in metrics.values()
    )
    lines = [
        f"| scenario | site | figure | target | {' | '.join(columns)} |",
        "|---" * (4 + len(columns)) + "|",
    ]
    for name, sites in summary.items():
        for site, metrics in sites.items():
            for metric, row in metrics.items():
                target = ROWS[name].target if ROWS[name].target_metric == metric else ""
                cells = [
                    " / ".join(f"{row[c][k]:.4g}" for k in ("min", "median", "max"))
                    if c in row
                    else "-"
                    for c in columns
                ]
                lines.append(
                    f"| {name} | {site} | {metric} | {target} | {' | '.join(cells)} |"
                )
    return "\n".join(lines)
