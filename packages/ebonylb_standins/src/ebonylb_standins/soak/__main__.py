"""Run soaks: ``python -m ebonylb_standins.soak --seeds 10 --seed 1``."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..site.http_site import PROGRAM
from .run import ENTRY_VMS, run_soak

# Addresses from 127.0.4.0 on, which no test uses.
FIRST_IP = 4 * 256


@dataclass
class Options:
    """Command-line options."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = 3
    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of the faults.")] = 12
    at_once: Annotated[int, cappa.Arg(long=True, help="Soaks at the same time.")] = 2
    entry_vms: Annotated[int, cappa.Arg(long=True, help="Entry VMs.")] = ENTRY_VMS
    broken: Annotated[
        str, cappa.Arg(long=True, help="Broken variants to run, separated by commas.")
    ] = ""
    keep: Annotated[str, cappa.Arg(long=True, help="Folder of failed runs.")] = ""


async def run(options: Options) -> int:
    """Run all seeds, print their results and return the number of failed seeds."""
    free_ips: asyncio.Queue[int] = asyncio.Queue()
    for number in range(options.at_once):
        free_ips.put_nowait(FIRST_IP + number * options.entry_vms)
    failed = 0

    async def run_seed(seed: int) -> None:
        nonlocal failed
        ip = await free_ips.get()
        try:
            log_folder = Path(options.keep) if options.keep else None
            program = PROGRAM
            if options.broken:
                program = (
                    "-m",
                    "ebonylb_standins.soak.broken",
                    *options.broken.split(","),
                )
            failures = await run_soak(
                seed, options.seconds, ip, log_folder, program, options.entry_vms
            )
        finally:
            free_ips.put_nowait(ip)
        failed += bool(failures)
        print(f"seed {seed}: {'failed' if failures else 'passed'}", flush=True)
        for at_s, check, detail in failures[:10]:
            print(f"  {at_s:7.2f} s {check}: {detail}", flush=True)

    seeds = range(options.seed, options.seed + options.seeds)
    await asyncio.gather(*(run_seed(seed) for seed in seeds))
    print(f"{options.seeds - failed} of {options.seeds} seeds passed")
    return failed


def main() -> None:
    """Run the soaks; the exit status is 1 when a seed failed."""
    options = cappa.parse(Options, completion=False)
    sys.exit(1 if asyncio.run(run(options)) else 0)


if __name__ == "__main__":
    main()
