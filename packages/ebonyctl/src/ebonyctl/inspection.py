"""Commands that show the state of the system, and the command drain."""

from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote

from .client import AdminClient
from .output import Output, make_table

ENTRY_VM_KEYS = ["name", "failure_domain", "region", "revision", "lifecycle"]
SERVER_KEYS = [
    "name", "service", "failure_domain", "state", "version", "window", "running",
    "queued",
]  # fmt: skip


async def show_status(client: AdminClient, output: Output) -> None:
    """Show entry VMs and backend servers."""
    response = await client.read("/admin/status")
    output.print_result(
        response,
        "entry VMs",
        make_table(ENTRY_VM_KEYS, select_columns(response["entry_vms"], ENTRY_VM_KEYS)),
        "backend servers",
        make_table(SERVER_KEYS, select_columns(response["servers"], SERVER_KEYS)),
    )


def select_columns(rows: list[dict[str, Any]], keys: list[str]) -> list[list[Any]]:
    """Return the values of the given keys for each row."""
    return [[row.get(key) for key in keys] for row in rows]


async def show_shares(client: AdminClient, output: Output) -> None:
    """Show entitled and served shares."""
    response = await client.read("/admin/shares")
    rows = [
        (
            service,
            party,
            f"{share['entitled']:.1%}",
            f"{share['served_share']:.1%}",
            share["served_tokens"],
        )
        for service, parties in sorted(response["services"].items())
        for party, share in sorted(parties.items())
    ]
    columns = ["service", "party", "entitled", "served", "served tokens"]
    output.print_result(response, make_table(columns, rows))


async def show_audit(client: AdminClient, output: Output, limit: int) -> None:
    """Show who changed what, newest first."""
    response = await client.read(f"/admin/audit?limit={limit}")
    rows = [
        (
            format_time(row["at_ms"]),
            row["author"],
            row["outcome"],
            row["from_revision"],
            row["to_revision"],
            row["entry_vm"],
            describe_audit_row(row),
        )
        for row in response["rows"]
    ]
    columns = ["time (UTC)", "author", "outcome", "from", "to", "entry VM", "detail"]
    output.print_result(response, make_table(columns, rows))


def describe_audit_row(row: dict[str, Any]) -> str:
    """Return the details of an audit row that have no column of their own."""
    if "changes" in row:
        return ", ".join(change["path"] for change in row["changes"])
    if "problems" in row:
        return "; ".join(row["problems"])
    if "current_revision" in row:
        return f"lost to revision {row['current_revision']} by {row['current_author']}"
    return str(row.get("server", ""))


def format_time(at_ms: int) -> str:
    """Format a Unix time in milliseconds as UTC date and time."""
    return f"{datetime.fromtimestamp(at_ms / 1000, UTC):%Y-%m-%d %H:%M:%S}"


async def show_decisions(client: AdminClient, output: Output, request_id: str) -> None:
    """Show the decisions on a request.

    All entry VMs are tried, because each one has only its own decisions.
    """
    path = f"/admin/explain/{quote(request_id, safe='')}"
    response = await client.read(path, search_all=True)
    rows = [
        (format_time(decision["at_ms"]), decision["step"], decision["detail"])
        for decision in response["decisions"]
    ]
    output.print_result(response, make_table(["time (UTC)", "step", "decision"], rows))


async def drain(client: AdminClient, output: Output, server: str, undo: bool) -> None:
    """Mark a backend server as leaving, or undo it; the request is idempotent."""
    body = {"server": server, "leaving": not undo}
    response = await client.send_repeatable("POST", "/admin/drain", body)
    state = "takes work again" if undo else "is leaving and gets no new work"
    output.print_result(response, f"{server} {state}")
