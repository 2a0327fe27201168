"""Command line that measures slopes and prints tables, run by ``make capacity``."""

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
    "base": runs.measure_base_memory,
    "entry-vms": runs.measure_entry_vms,
    "domains": runs.measure_domains,
    "peers": runs.measure_peers,
    "servers": runs.measure_servers,
    "parties": runs.measure_parties,
    "changes": runs.measure_changes,
    "targets": runs.measure_targets,
    "requests": runs.measure_requests,
    "tokens": runs.measure_tokens,
    "steps": runs.measure_steps,
    "throughput": runs.measure_throughput,
    "latency": runs.measure_latency,
    "recovery": runs.measure_recovery,
    "sizes": runs.measure_sizes,
}


@cappa.command(
    name="capacity", help="Measure the costs that grow with the size of the site."
)
@dataclass
class Options:
    """Example: python -m ebonylb_standins.capacity --only servers."""

    only: Annotated[list[str], option("measure only this part; repeat")] = ()
    out: Annotated[str, option("output folder of plots and results.json")] = (
        "docs/capacity"
    )
    quick: Annotated[bool, option("measure only two sizes per part, for a trial")] = (
        False
    )


async def measure_parts(options: Options) -> dict[str, runs.Part]:
    """Run the requested parts in sequence and return those that were measured."""
    parts = {}
    for name in options.only or PARTS:
        started_s = time.monotonic()
        try:
            parts[name] = await PARTS[name](options.quick)
        except (RuntimeError, TimeoutError, OSError, AssertionError) as error:
            print(f"{name}: not measured: {error}", flush=True)
            continue
        parts[name].elapsed_s = round(time.monotonic() - started_s, 1)
        print_part(name, parts[name])
    return parts


def print_part(name: str, part: runs.Part) -> None:
    """Print the slopes and values of one part."""
    command = f"--only {name}"
    print(f"\n{name} ({part.elapsed_s} s, load average {runs.load_average()})")
    if part.series:
        print(format_slope_table(part.series, command))
    for key, value in part.figures.items():
        print(f"{key}: {value}")
    print(flush=True)


def write_results(parts: dict[str, runs.Part], folder: Path) -> None:
    """Write the plots, and update results.json with the measured parts."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "results.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    for name, part in parts.items():
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
    """Measure, print and write the parts; exit with 1 if one was not measured."""
    options = cappa.parse(Options)
    unknown = [name for name in options.only if name not in PARTS]
    if unknown:
        raise cappa.Exit(
            f"--only {unknown[0]}: unknown part; valid: {', '.join(PARTS)}", code=2
        )
    parts = asyncio.run(measure_parts(options))
    write_results(parts, Path(options.out))
    requested = options.only or PARTS
    raise SystemExit(0 if len(parts) == len(requested) else 1)


if __name__ == "__main__":
    main()
