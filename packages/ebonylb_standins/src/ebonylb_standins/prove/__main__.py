"""Command line of the checks: ``python -m ebonylb_standins.prove --seeds N``."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from ..histories.events import write_history
from ..server import option
from .plan import FAULTS
from .report import format_command, format_verdict
from .run import RunOptions, Verdict, prove_seed


@dataclass
class Options:
    """Run seeds and check the promises."""

    seeds: Annotated[int, option("number of seeds")] = 1
    seed: Annotated[int, option("first seed")] = 1
    site: Annotated[str, option("abay, song-huong, or both in turn")] = "both"
    faults: Annotated[
        str, option("faults that may be drawn, separated by commas; all if empty")
    ] = ""
    json: Annotated[str, option("file to write the verdicts to, as JSON")] = ""
    history: Annotated[
        str, option("directory to write the histories to, as JSON lines")
    ] = ""
    variant: Annotated[str, option("broken variant of the entry VM")] = ""
    load_s: Annotated[float, option("seconds of load in which faults begin")] = 8.0
    at_once: Annotated[int, option("seeds run at the same time")] = 1


def run_options(options: Options) -> list[RunOptions]:
    """Return the options of the run of each seed."""
    faults = tuple(options.faults.split(",")) if options.faults else FAULTS
    unknown = set(faults) - set(FAULTS)
    if unknown:
        names = ", ".join(sorted(unknown))
        raise SystemExit(f"--faults: unknown {names}; valid: {', '.join(FAULTS)}")
    runs = []
    for seed in range(options.seed, options.seed + options.seeds):
        site = options.site
        if site == "both":
            site = ("abay", "song-huong")[seed % 2]
        runs.append(RunOptions(seed, site, faults, options.load_s, options.variant))
    return runs


async def run_all(options: Options) -> list[Verdict]:
    """Run all seeds and print each verdict as soon as its run ends."""
    semaphore = asyncio.Semaphore(options.at_once)

    async def limited(run: RunOptions) -> Verdict:
        async with semaphore:
            verdict = await prove_seed(run)
        print("\n".join(format_verdict(verdict)), flush=True)
        if options.history:
            path = Path(options.history) / f"seed-{run.seed}.jsonl"
            write_history(str(path), verdict.events)
        verdict.events = []
        return verdict

    return await asyncio.gather(*map(limited, run_options(options)))


def verdict_document(verdict: Verdict) -> dict:
    """Return a verdict as an object of the JSON file."""
    return {
        "seed": verdict.options.seed,
        "site": verdict.options.site,
        "variant": verdict.options.variant,
        "command": format_command(verdict.options),
        "faults": verdict.faults,
        "counts": verdict.counts,
        "refusals": verdict.refusals,
        "elapsed_s": verdict.elapsed_s,
        "violations": [
            {
                "promise": violation.promise,
                "cause": violation.cause,
                "events": [msgspec.to_builtins(event) for event in violation.events],
            }
            for violation in verdict.violations
        ],
    }


def main() -> None:
    """Run the seeds; exit with status 1 if a promise is broken."""
    options = cappa.parse(Options)
    verdicts = asyncio.run(run_all(options))
    if options.json:
        text = json.dumps([verdict_document(verdict) for verdict in verdicts], indent=1)
        Path(options.json).write_text(text + "\n")
    broken = Counter(v.promise for one in verdicts for v in one.violations)
    total = sum((verdict.counts for verdict in verdicts), Counter())
    print(
        f"{len(verdicts)} histories, {total['events']} events, {total['sent']} "
        f"requests, {total['samples']} samples, {broken.total()} violations "
        f"{dict(broken) or ''}".rstrip()
    )
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
