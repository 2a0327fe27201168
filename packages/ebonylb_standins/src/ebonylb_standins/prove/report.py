"""Text report of verdicts."""

import msgspec

from ..histories.checkers import Violation
from .plan import FAULTS
from .run import RunOptions, Verdict

MAX_VIOLATIONS_SHOWN = 5  # violations printed in full per seed
COUNTS = (
    "sent",
    "CallRan",
    "samples",
    "steps",
    "steps incomplete",
    "SheetApplied",
    "SheetLost",
    "CallBroken",
    "ServerCrashed",
)


def format_command(options: RunOptions) -> str:
    """Return the command that runs only the seed of these options again."""
    parts = [
        "python -m ebonylb_standins.prove --seeds 1",
        f"--seed {options.seed}",
        f"--site {options.site}",
    ]
    if options.faults != FAULTS:
        parts.append(f"--faults {','.join(options.faults)}")
    if options.variant:
        parts.append(f"--variant {options.variant}")
    return " ".join(parts)


def format_verdict(verdict: Verdict) -> list[str]:
    """Return the lines of the report of one seed."""
    options, counts = verdict.options, verdict.counts
    outcome = "ok  " if not verdict.violations else "FAIL"
    lines = [f"{outcome} seed {options.seed} {options.site} {verdict.elapsed_s:.1f} s"]
    lines.append("  plan: " + ", ".join(map(str, verdict.plan)))
    lines.append("  faults: " + ", ".join(verdict.faults))
    lines.append("  " + ", ".join(f"{name} {counts[name]}" for name in COUNTS))
    works = {k: n for k, n in counts.items() if k.startswith("work ")}
    lines.append("  " + ", ".join(f"{k} {n}" for k, n in sorted(works.items())))
    refusals = sorted(verdict.refusals.items())
    lines.append("  refusals: " + ", ".join(f"{k} {n}" for k, n in refusals))
    for violation in verdict.violations[:MAX_VIOLATIONS_SHOWN]:
        lines += format_violation(violation)
    if verdict.violations:
        lines.append(f"  {len(verdict.violations)} violations")
        lines.append(f"  rerun: {format_command(options)}")
    return lines


def format_violation(violation: Violation) -> list[str]:
    """Return the lines that describe a violation and the events that prove it."""
    lines = [f"  VIOLATION {violation.promise}: {violation.cause}"]
    for event in violation.events:
        lines.append("    " + msgspec.json.encode(event).decode()[:600])
    return lines
