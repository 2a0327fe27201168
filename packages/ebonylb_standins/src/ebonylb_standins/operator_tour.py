"""Run ``ebonyctl`` against a demonstration cluster and print the transcript.

``python -m ebonylb_standins.operator_tour --page docs/operating.md`` replaces the
transcript between the markers of that page.
"""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from .cluster import Cluster
from .demo import build_sheet, demo_cluster
from .server import option
from .sessions.script import Script

BEGIN_MARKER, END_MARKER = "<!-- transcript: begin -->", "<!-- transcript: end -->"
COMMAND_TIMEOUT_S = 40


@dataclass
class Options:
    """Print a transcript of ebonyctl against a running demonstration cluster."""

    page: Annotated[str, option("page whose transcript is replaced; empty: none")] = ""


async def run_command(cluster: Cluster, arguments: list[str]) -> str:
    """Run an ebonyctl command; return its transcript with output and exit code."""
    environment = {
        **os.environ,
        "EBONYCTL_ENDPOINTS": ",".join(cluster.entry_urls[:2]),
        "EBONYCTL_TOKEN": cluster.operator_token,
        "COLUMNS": "100",
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ebonyctl",
        *arguments,
        cwd=cluster.folder,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        output, _ = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
    lines = [line.rstrip() for line in output.decode().splitlines()]
    lines_shown = [f"$ ebonyctl {' '.join(arguments)}", *lines]
    if process.returncode:
        lines_shown.append(f"(exit code {process.returncode})")
    return "\n".join(lines_shown)


async def record_transcript() -> str:
    """Run all commands on a new cluster and return their transcript."""
    async with demo_cluster() as cluster:
        script = Script(cluster)
        await script.wait_ready()
        topology, folder = cluster.topology, cluster.folder
        evening = build_sheet(topology, trainer_weight=3.0)
        (folder / "evening.jsonc").write_text(evening)
        (folder / "late.jsonc").write_text(build_sheet(topology, trainer_weight=5.0))
        (folder / "wrong.jsonc").write_text(evening.replace('"desk"', '"coach"'))
        body = {"service": topology.engine_service, "prompt": "draw time len=20"}
        headers = {"X_Request_Id": "advice-1"}
        await script.send(script.desk, "/v1/generate", body, **headers)
        drained = topology.engines[0].name
        commands = [
            ["status"],
            ["check", "wrong.jsonc"],
            ["diff", "evening.jsonc"],
            ["apply", "evening.jsonc"],
            ["apply", "late.jsonc", "--base", "1"],
            ["drain", drained],
            ["drain", drained, "--undo"],
            ["drain", "kiln-lm-9"],
            ["explain", "advice-1"],
            ["shares"],
            ["audit", "--limit", "5"],
        ]
        return "\n\n".join(
            [await run_command(cluster, command) for command in commands]
        )


def replace_transcript(page: str, transcript: str) -> str:
    """Return a page with a new transcript between its markers."""
    before, rest = page.split(BEGIN_MARKER)
    _, after = rest.split(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n```\n{transcript}\n```\n{END_MARKER}{after}"


def main() -> None:
    """Print a new transcript and replace that of a page if one is given."""
    options = cappa.parse(Options)
    transcript = asyncio.run(record_transcript())
    print(transcript)
    if options.page:
        path = Path(options.page)
        text = replace_transcript(path.read_text(encoding="utf-8"), transcript)
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
