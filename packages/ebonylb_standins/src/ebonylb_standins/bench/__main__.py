"""Command line of the policy bench."""

import argparse
import json
import os
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from .layout import SITES
from .runner import COLUMNS, ROWS, jobs_for, run_one, summarise, table

WORKER_PROCESSES = 6


def main():
    """Run the selected scenarios; print the table, write or print a JSON summary."""
    parser = argparse.ArgumentParser(prog="python -m ebonylb_standins.bench")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--only", choices=ROWS, action="append")
    parser.add_argument("--site", choices=SITES, action="append")
    parser.add_argument("--column", choices=COLUMNS, action="append")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    jobs = jobs_for(
        options.only or list(ROWS),
        options.seeds,
        options.site or tuple(SITES),
        options.column or COLUMNS,
    )
    # Sets of strings are iterated in hash order, which must be the same in all runs.
    os.environ["PYTHONHASHSEED"] = "0"
    context = get_context("spawn")
    with ProcessPoolExecutor(WORKER_PROCESSES, mp_context=context) as pool:
        results = list(pool.map(run_one, jobs))
    summary = summarise(jobs, results)
    print(table(summary))
    text = json.dumps(summary, indent=1)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    else:
        print(text)


if __name__ == "__main__":
    main()
