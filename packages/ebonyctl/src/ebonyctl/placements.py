"""Where a request or an item would be placed now: ``ebonyctl explain --host``.

It asks one entry VM over its metrics address and sends nothing to servers.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp

from .client import parse_object
from .exits import CommandError, ExitCode
from .output import Output, make_table

TIMEOUT_S = 5
EXPLAIN_PATH = "/explain"
# Parts of a cost, in the order of their columns.
PARTS = (
    "duration",
    "queue",
    "load",
    "distance",
    "failures",
    "group",
    "long_prompt",
)


async def fetch(endpoint: str, question: dict[str, str | int]) -> dict[str, Any]:
    """Return the explanation of one entry VM.

    Raises
    ------
    CommandError
        The entry VM cannot be reached or refused the question.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(
                endpoint.rstrip("/") + EXPLAIN_PATH,
                params=question,
                allow_redirects=False,
            ) as response,
        ):
            status, body = response.status, parse_object(await response.read())
    except (aiohttp.ClientError, TimeoutError) as error:
        cause = str(error) or repr(error)
        message = f"{endpoint} cannot be reached: {cause}"
        raise CommandError(ExitCode.UNAVAILABLE, message) from error
    if status == 200 and body is not None:
        return body
    message = str((body or {}).get("message", f"status {status}"))
    if status == 404:
        fix = "give the metrics address of an entry VM with --endpoint"
        raise CommandError(ExitCode.NOT_FOUND, f"{endpoint} explains nothing: {fix}")
    code = ExitCode.REFUSED if status == 400 else ExitCode.UNAVAILABLE
    raise CommandError(code, f"{endpoint}: {message}")


def format_outcome(explanation: dict[str, Any]) -> str:
    """Return in one line what would happen."""
    verdict = explanation["verdict"]
    if verdict == "refused":
        retry = explanation["retry_after"]
        return (
            f"refused with status {explanation['status']} ({explanation['reason']}: "
            f"{explanation['message']}), "
            + (f"Retry-After {retry}" if retry else "no Retry-After")
        )
    if verdict == "waits":
        return f"waits for a server behind {explanation['items_ahead']} items"
    if verdict == "relayed":
        return "passed on to another entry VM, since this one reaches no server"
    equal = explanation["equal_servers"]
    others = f", or at the same cost to {', '.join(equal)}" if equal else ""
    return f"sent to {explanation['server']}{others}"


def format_lines(explanation: dict[str, Any]) -> list[Any]:
    """Return the lines and the table of an explanation."""
    names = ("route", "kind", "service", "customer", "priority", "holder")
    facts = [f"{n} {explanation[n]}" for n in names if explanation[n] not in ("", None)]
    seen_by = f"{explanation['entry_vm']}, configuration {explanation['configuration']}"
    lines: list[Any] = [
        f"{seen_by}: {', '.join(facts) or 'no route'}",
        format_outcome(explanation),
    ]
    candidates = explanation["candidates"]
    if candidates:
        present = {name for candidate in candidates for name in candidate["cost"]}
        parts = [name for name in PARTS if name in present]
        columns = ["server", "failure domain", "cost", *parts, "excluded"]
        rows = [
            (
                candidate["server"],
                candidate["failure_domain"],
                round_part(candidate["total"]),
                *(round_part(candidate["cost"].get(name)) for name in parts),
                candidate["excluded"],
            )
            for candidate in sorted(
                candidates, key=lambda c: (c["excluded"] is not None, c["total"] or 0)
            )
        ]
        lines.append(make_table(columns, rows))
    return lines


def round_part(part: float | None) -> float | None:
    """Return a part of a cost as it is shown."""
    return None if part is None else round(part, 4)


def explain(
    output: Output, endpoints: Sequence[str], question: dict[str, str | int]
) -> None:
    """Print the explanation of the first endpoint.

    Raises
    ------
    CommandError
        There is no endpoint, or it gives no explanation.
    """
    if not endpoints:
        fix = "give its metrics address with --endpoint http://IP:9464"
        raise CommandError(ExitCode.USAGE, f"no endpoint of an entry VM: {fix}")
    given = {name: value for name, value in question.items() if value not in ("", 0)}
    explanation = asyncio.run(fetch(endpoints[0], given))
    output.print_result(explanation, *format_lines(explanation))
