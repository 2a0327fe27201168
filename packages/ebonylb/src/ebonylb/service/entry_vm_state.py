"""State of an entry VM for operators: customers, duties, usage and servers wanted.

It is served on the metrics address, and contains no key.
"""

from dataclasses import asdict
from typing import Any

from ..customers import KeyChanges, RevocationBound, count_keys
from ..routes import RouteTable
from ..usage.report_table import ReportTable, StoredReport
from .site_components import SiteComponents

# Leases of weight orders are named so; there are up to 64, and they are no duties.
ORDER_SUBJECT_PREFIX = "group-"


def describe_state(
    components: SiteComponents, key_changes: KeyChanges
) -> dict[str, Any]:
    """Return what this entry VM knows, as a JSON document."""
    duties = components.duties
    usage = duties.usage if duties is not None else None
    return {
        "entry_vm": components.identity.name,
        "incarnation": components.identity.incarnation,
        "configuration": components.routes.version,
        "keys": describe_keys(
            components.routes, components.revocation_bound, key_changes
        ),
        "duties": describe_duties(components) if duties is not None else [],
        "usage": describe_usage(usage.reports) if usage is not None else None,
        "scaling": [
            asdict(status)
            for status in (components.scaling.explain() if components.scaling else [])
        ],
    }


def describe_keys(
    routes: RouteTable, bound: RevocationBound, changes: KeyChanges
) -> dict[str, Any]:
    """Return the number of keys of each customer, and the last ones taken away."""
    counts = count_keys(routes.configuration)
    return {
        "honoured": bound.is_recent(),
        "view_age_ms": round(bound.age_ms()) if bound.has_view else None,
        "customers": [
            {
                "customer": name,
                "keys": counts[name],
                "last_removal": asdict(changes.removals[name])
                if name in changes.removals
                else None,
            }
            for name in sorted(counts.keys() | changes.removals.keys())
        ],
    }


def describe_duties(components: SiteComponents) -> list[dict[str, Any]]:
    """Return who holds each subject of the duties, as seen here."""
    leases = components.leases
    return [
        {
            "subject": subject,
            "holder": observed.lease.holder,
            "incarnation": observed.lease.incarnation,
            "fence": observed.lease.fence,
            "unchanged_ms": round(leases.unchanged_for_ms(subject)),
            "term_ended": leases.time_since_term_ms(observed) >= 0,
        }
        for subject, observed in sorted(leases.observed_leases.items())
        if not subject.startswith(ORDER_SUBJECT_PREFIX)
    ]


def describe_usage(reports: ReportTable) -> dict[str, Any]:
    """Return the last windows that were summed and accepted, with their counts."""
    accepted = reports.last_accepted()
    stored = max(reports.reports, default=None)
    return {
        "next_window": reports.progress.next_window if reports.progress else None,
        "last_summed": describe_report(reports.reports.get(stored)),
        "last_accepted": describe_report(reports.reports.get(accepted)),
    }


def describe_report(report: StoredReport | None) -> dict[str, Any] | None:
    """Return a window with its counts and the state of its report."""
    if report is None:
        return None
    return {
        "window": report.window,
        "state": report.row.state.value,
        "counts": report.row.counts,
    }
