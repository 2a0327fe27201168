"""Command line that compares sessions with their golden files or rewrites these."""

import asyncio
import difflib
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from .catalogue import GOLDEN_DIRECTORY, SESSIONS, golden_path, run_session


@dataclass
class Options:
    """Run sessions and print how their transcripts differ from the golden files."""

    sessions: Annotated[
        list[str],
        cappa.Arg(help="Names of sessions; all if none is given.", num_args=-1),
    ]
    update: Annotated[bool, cappa.Arg(long=True, help="Rewrite the golden files.")] = (
        False
    )


def main() -> None:
    """Run the sessions; exit with status 1 if one differs from its golden file."""
    options = cappa.parse(Options)
    any_difference = False
    for name in options.sessions or SESSIONS:
        start_s = time.monotonic()
        transcript = asyncio.run(run_session(name))
        path = golden_path(name)
        golden = path.read_text(encoding="utf-8") if path.exists() else ""
        changes = list(
            difflib.unified_diff(
                golden.splitlines(),
                transcript.splitlines(),
                str(path.name),
                "run",
                "",
                "",
            )
        )
        print("\n".join(changes))
        print(
            f"{name}: {len(changes)} lines of difference, "
            f"{time.monotonic() - start_s:.1f} s"
        )
        if options.update:
            GOLDEN_DIRECTORY.mkdir(exist_ok=True)
            path.write_text(transcript, encoding="utf-8")
        any_difference = any_difference or bool(changes)
    raise SystemExit(1 if any_difference and not options.update else 0)


if __name__ == "__main__":
    main()
