"""State of running entry VMs: ``ebonyctl keys``, ``duties``, ``usage``, ``scaling``.

It is read from the metrics addresses of the entry VMs, where it needs no token.
"""

import asyncio
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import aiohttp

from .exits import CommandError, ExitCode
from .output import Output, make_table

METRICS_PORT = 9464
STATE_PATH = "/state"
# An entry VM answers from memory; a suspended one does not answer at all.
TIMEOUT = aiohttp.ClientTimeout(total=5, sock_connect=2)

State = dict[str, Any]


def with_port(address: str) -> str:
    """Return an address with the port of the metrics unless it has one.

    Raises
    ------
    CommandError
        It is not an address.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        return f"{address}:{METRICS_PORT}"
    if not host or not port.isdecimal():
        message = f"{address!r} is no address: give IP or IP:PORT"
        raise CommandError(ExitCode.USAGE, message)
    return address


async def read_state(session: aiohttp.ClientSession, address: str) -> State | str:
    """Return the state of one entry VM, or why it cannot be had."""
    try:
        async with session.get(f"http://{address}{STATE_PATH}") as response:
            if response.status != 200:
                return f"{address}: status {response.status}; is it an entry VM?"
            state = await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return f"{address}: {str(error) or repr(error)}"
    return state if isinstance(state, dict) else f"{address}: no JSON object"


async def read_states(addresses: Sequence[str], output: Output) -> list[State]:
    """Return the states of all entry VMs that answer, in the order of their names.

    Raises
    ------
    CommandError
        There is no address, or no entry VM answers.
    """
    if not addresses:
        message = "no address: give the metrics addresses of entry VMs"
        raise CommandError(ExitCode.USAGE, message)
    checked = [with_port(address) for address in addresses]
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        read = await asyncio.gather(*(read_state(session, a) for a in checked))
    failures = [failure for failure in read if isinstance(failure, str)]
    states = [state for state in read if not isinstance(state, str)]
    if not states:
        raise CommandError(ExitCode.UNAVAILABLE, "; ".join(failures))
    for failure in failures:
        output.print_notice(f"not read: {failure}")
    return sorted(states, key=lambda state: state["entry_vm"])


def list_keys(states: Sequence[State]) -> list[dict[str, Any]]:
    """Return a row for each entry VM and customer."""
    return [
        {
            "entry_vm": state["entry_vm"],
            "configuration": state["configuration"],
            "honoured": state["keys"]["honoured"],
            "view_age_ms": state["keys"]["view_age_ms"],
            **customer,
        }
        for state in states
        for customer in state["keys"]["customers"]
    ]


def list_duties(states: Sequence[State]) -> list[dict[str, Any]]:
    """Return a row for each subject with its newest lease, and who sees that one.

    An entry VM that sees an older one has not read the rows of the others.
    """
    newest: dict[str, dict[str, Any]] = {}
    for state in states:
        for duty in state["duties"]:
            known = newest.get(duty["subject"])
            if known is None or duty["fence"] > known["fence"]:
                newest[duty["subject"]] = {**duty, "seen_by": [], "not_seen_by": []}
    for state in states:
        fences = {duty["subject"]: duty["fence"] for duty in state["duties"]}
        for subject, duty in newest.items():
            is_seen = fences.get(subject) == duty["fence"]
            duty["seen_by" if is_seen else "not_seen_by"].append(state["entry_vm"])
    return [newest[subject] for subject in sorted(newest)]


def list_usage(states: Sequence[State]) -> list[dict[str, Any]]:
    """Return a row for each entry VM that knows of reports."""
    return [
        {"entry_vm": state["entry_vm"], **state["usage"]}
        for state in states
        if state["usage"] is not None
    ]


def list_pools(states: Sequence[State]) -> list[dict[str, Any]]:
    """Return a row for each entry VM, service, failure domain and kind of server.

    Each entry VM makes its own plan; that of the duty's holder is ordered.
    """
    holders = {duty["subject"]: duty["holder"] for duty in list_duties(states)}
    rows = []
    for state in states:
        for service in state["scaling"]:
            for pool in service["pools"]:
                subject = f"scale/{service['service']}/{pool['failure_domain']}"
                is_holder = holders.get(subject) == state["entry_vm"]
                rows.append(
                    {
                        "entry_vm": state["entry_vm"],
                        "is_holder": is_holder,
                        "summary": service["summary"],
                        "peak_slots": service["peak_slots"],
                        "known_ms": service["known_ms"],
                        **pool,
                    }
                )
    return rows


def format_time(unix_ms: float) -> str:
    """Return a time of day in UTC with milliseconds."""
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%H:%M:%S.%f")[:-3]


def format_removal(removal: dict[str, Any] | None) -> str | None:
    """Return when the last keys of a customer were taken away."""
    if removal is None:
        return None
    return (
        f"{removal['removed']} at {format_time(removal['at_unix_ms'])} "
        f"by configuration {removal['version']}"
    )


def format_report(report: dict[str, Any] | None) -> str | None:
    """Return a window with its counts."""
    if report is None:
        return None
    counts = " ".join(f"{c}={n}" for c, n in sorted(report["counts"].items()))
    return f"{report['window']} ({report['state']}): {counts or 'no requests'}"


def print_keys(states: Sequence[State], output: Output) -> None:
    """Show the number of keys of each customer, and when keys were taken away."""
    rows = list_keys(states)
    columns = ["entry VM", "customer", "keys", "honoured", "view (ms)", "last removed"]
    table = make_table(
        columns,
        [
            (
                row["entry_vm"],
                row["customer"],
                row["keys"],
                "yes" if row["honoured"] else "no",
                row["view_age_ms"],
                format_removal(row["last_removal"]),
            )
            for row in rows
        ],
    )
    output.print_result({"keys": rows}, table)


def print_duties(states: Sequence[State], output: Output) -> None:
    """Show who holds each duty."""
    rows = list_duties(states)
    columns = ["subject", "holder", "fence", "written (ms ago)", "term", "not seen by"]
    table = make_table(
        columns,
        [
            (
                row["subject"],
                row["holder"],
                row["fence"],
                row["unchanged_ms"],
                "ended" if row["term_ended"] else "runs",
                " ".join(row["not_seen_by"]) or None,
            )
            for row in rows
        ],
    )
    output.print_result({"duties": rows}, table)


def print_usage(states: Sequence[State], output: Output) -> None:
    """Show the last windows that were summed and accepted."""
    rows = list_usage(states)
    table = make_table(
        ["entry VM", "next window", "last summed", "last accepted"],
        [
            (
                row["entry_vm"],
                row["next_window"],
                format_report(row["last_summed"]),
                format_report(row["last_accepted"]),
            )
            for row in rows
        ],
    )
    output.print_result({"usage": rows}, table)


def print_scaling(states: Sequence[State], output: Output) -> None:
    """Show the servers wanted and listed, and why."""
    rows = list_pools(states)
    columns = [
        "entry VM", "service", "failure domain", "kind", "wanted", "listed", "reason",
        "paused", "plan",
    ]  # fmt: skip
    table = make_table(
        columns,
        [
            (
                row["entry_vm"] + (" (holder)" if row["is_holder"] else ""),
                row["service"],
                row["failure_domain"],
                "reclaimable" if row["reclaimable"] else "other",
                row["wanted"],
                row["listed"],
                row["reason"],
                "yes" if row["is_unavailable"] else "no",
                row["summary"],
            )
            for row in rows
        ],
    )
    output.print_result({"pools": rows}, table)
