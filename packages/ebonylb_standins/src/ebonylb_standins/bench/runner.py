"""Runs of the policy bench and their summary.

Worker processes import this module by name, which they cannot do with ``__main__``.
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
    """Scenario with the figure that has a target in design 1.2.

    Rows that the profile does not concern run with the balanced one only. `trial` is
    what a run is made on: callers of the project's own interface, or trainers on the
    users' platform.
    """

    run: object
    figure: str
    target: str
    profiles: bool = True
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
    """One run: a scenario at a site with one column's routing and a seed."""

    name: str
    place: str
    column: str
    seed: int


def run_one(job):
    """Run a job."""
    kind = "baseline" if job.column == "baseline" else "policy"
    profile = "balanced" if job.column == "baseline" else job.column
    row = ROWS[job.name]
    return row.run(partial(row.trial, job.place, kind, profile, job.seed))


def jobs_for(names, seeds, places=tuple(SITES), columns=COLUMNS):
    """Return all runs."""
    return [
        Job(name, place, column, seed)
        for name in names
        for place in places
        for column in columns
        if ROWS[name].profiles or column in COLUMNS[:2]
        for seed in range(1, seeds + 1)
    ]


def summarise(jobs, answers):
    """Return lowest, median and highest of each figure.

    Returns
    -------
    dict
        ``{scenario: {site: {figure: {column: {"min", "median", "max"}}}}}``
    """
    values = {}
    for job, answer in zip(jobs, answers, strict=True):
        place = values.setdefault(job.name, {}).setdefault(job.place, {})
        for figure, value in answer.items():
            place.setdefault(figure, {}).setdefault(job.column, []).append(value)
    return {
        name: {
            place: {
                figure: {
                    column: {
                        "min": min(found),
                        "median": median(found),
                        "max": max(found),
                    }
                    for column, found in columns.items()
                }
                for figure, columns in figures.items()
            }
            for place, figures in places.items()
        }
        for name, places in values.items()
    }


def table(summary):
    """Return the summary as a Markdown table: minimum / median / maximum."""
    columns = next(
        list(row)
        for places in summary.values()
        for figures in places.values()
        for row in figures.values()
    )
    lines = [
        f"| scenario | site | figure | target | {' | '.join(columns)} |",
        "|---" * (4 + len(columns)) + "|",
    ]
    for name, places in summary.items():
        for place, figures in places.items():
            for figure, row in figures.items():
                target = ROWS[name].target if ROWS[name].figure == figure else ""
                cells = [
                    " / ".join(f"{row[c][k]:.4g}" for k in ("min", "median", "max"))
                    if c in row
                    else "-"
                    for c in columns
                ]
                lines.append(
                    f"| {name} | {place} | {figure} | {target} | {' | '.join(cells)} |"
                )
    return "\n".join(lines)
