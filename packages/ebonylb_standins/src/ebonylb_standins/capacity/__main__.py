"""Measure the slopes and print the tables: ``make capacity``."""

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..server import option
from . import runs
from .fit import fit_line
from .plot import plot_svg
from .series import format_slope_table

PARTS = {
    "base": runs.base,
    "entry-vms": runs.entry_vms,
    "domains": runs.domains,
    "peers": runs.peers,
    "servers": runs.servers,
    "parties": runs.parties,
    "changes": runs.changes,
    "targets": runs.targets,
    "requests": runs.requests,
    "tokens": runs.tokens,
    "steps": runs.steps,
    "throughput": runs.throughput,
    "latency": runs.latency,
    "recovery": runs.recovery,
    "sizes": runs.sizes,
}


@cappa.command(name="capacity", help="Measure the costs that grow with the site.")
@dataclass
class Options:
    """Example: python -m ebonylb_standins.capacity --only servers."""

    only: Annotated[list[str], option("measure only this part; repeat")] = ()
    out: Annotated[str, option("folder of the plots and results.json")] = (
        "docs/capacity"
    )
    quick: Annotated[bool, option("two sizes of each, for a trial")] = False


async def measure(options: Options) -> dict[str, runs.Part]:
    """Run the parts one after the other."""
    found = {}
    for name in options.only or PARTS:
        started = time.monotonic()
        try:
            found[name] = await PARTS[name](options.quick)
        except (RuntimeError, TimeoutError, OSError, AssertionError) as error:
            print(f"{name}: not measured: {error}", flush=True)
            continue
        found[name].elapsed_s = round(time.monotonic() - started, 1)
        report(name, found[name])
    return found


def report(name: str, part: runs.Part) -> None:
    """Print one part."""
    command = f"--only {name}"
    print(f"\n{name} ({part.elapsed_s} s, load average {runs.load_average()})")
    if part.series:
        print(format_slope_table(part.series, command))
    for key, value in part.figures.items():
        print(f"{key}: {value}")
    print(flush=True)


def write(found: dict[str, runs.Part], folder: Path) -> None:
    """Write the plots, and the results of the parts that ran into the JSON file."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "results.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    for name, part in found.items():
        for series in part.series:
            line = fit_line(series.points)
            (folder / f"{series.name}.svg").write_text(plot_svg(series, line))
        results[name] = {
            "elapsed_s": part.elapsed_s,
            "load_average": runs.load_average(),
            "slopes": [series.row() for series in part.series],
            "figures": part.figures,
        }
    path.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


def main() -> None:
    """Measure, print and write."""
    options = cappa.parse(Options)
    unknown = [name for name in options.only if name not in PARTS]
    if unknown:
        raise cappa.Exit(
            f"--only {unknown[0]}: unknown part; valid: {', '.join(PARTS)}", code=2
        )
    found = asyncio.run(measure(options))
    write(found, Path(options.out))
    wanted = options.only or PARTS
    raise SystemExit(0 if len(found) == len(wanted) else 1)


if __name__ == "__main__":
    main()
