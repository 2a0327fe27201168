"""Commands for sheets: check, diff and apply."""

import asyncio
import time
from typing import Any

from result import Err

from ebonylb.configuration import EMPTY_SHEET, Sheet, diff, load_sheet, parse_sheet
from ebonylb.settings import FileError, load_settings, read_text

from .client import AdminClient
from .exits import CommandError, ExitCode
from .output import Output, make_change_table

POLL_INTERVAL_S = 0.25


def check(output: Output, sheet: str | None, settings: str | None) -> None:
    """Validate files without a running system; report the mistakes of all at once."""
    if sheet is None and settings is None:
        raise CommandError(ExitCode.USAGE, "give a SHEET, --settings FILE, or both")
    results = [load_sheet(sheet)] if sheet is not None else []
    results += [load_settings(settings)] if settings is not None else []
    errors = [result.err_value for result in results if isinstance(result, Err)]
    if errors:
        raise make_file_error(*errors)
    checked = [path for path in (sheet, settings) if path is not None]
    output.print_result({"valid": checked}, *(f"{path}: valid" for path in checked))


def make_file_error(*errors: FileError) -> CommandError:
    """Return the error that lists the mistakes of one or more files."""
    problems = [f"{error.path}: {line}" for error in errors for line in error.problems]
    message = f"{len(problems)} to correct; nothing was changed"
    return CommandError(ExitCode.REFUSED, message, problems=problems)


def read_sheet(path: str) -> tuple[str, Sheet]:
    """Return the text and the content of a sheet file.

    Raises
    ------
    CommandError
        The file cannot be read or has mistakes, so it must not be sent.
    """
    text = read_text(path)
    if isinstance(text, Err):
        raise make_file_error(text.err_value)
    result = parse_sheet(text.ok_value, path)
    if isinstance(result, Err):
        raise make_file_error(result.err_value)
    return text.ok_value, result.ok_value


async def compare(client: AdminClient, new: Sheet) -> tuple[int, list[dict[str, Any]]]:
    """Return the revision in force and the changes from its sheet to a new one."""
    response = await client.read("/admin/sheet")
    current = EMPTY_SHEET
    if response["sheet"] is not None:
        current = Sheet.model_validate(response["sheet"])
    changes = [change.document() for change in diff(current, new)]
    return int(response["revision"]), changes


async def show_diff(client: AdminClient, output: Output, path: str) -> None:
    """Show what applying a sheet would change."""
    _, sheet = read_sheet(path)
    revision, changes = await compare(client, sheet)
    output.print_result(
        {"revision": revision, "changes": changes}, *format_changes(revision, changes)
    )


def format_changes(revision: int, changes: list[dict[str, Any]]) -> list[Any]:
    """Return the printable lines for the changes from a revision."""
    if not changes:
        return [f"no difference from revision {revision}"]
    return [f"changes from revision {revision}:", make_change_table(changes)]


async def apply(
    client: AdminClient,
    output: Output,
    path: str,
    base: int | None,
    wait: bool,
    wait_timeout_s: float,
) -> None:
    """Apply a sheet, and wait until it is in force on every entry VM."""
    text, sheet = read_sheet(path)
    current_revision, changes = await compare(client, sheet)
    if not output.as_json:
        output.print_result({}, *format_changes(current_revision, changes))
    output.activity = "applying the sheet"
    revision = await client.apply(text, current_revision if base is None else base)
    if not output.as_json:
        output.print_result({}, f"applied as revision {revision}")
    if wait:
        output.activity = f"waiting until revision {revision} is in force everywhere"
        await wait_until_in_force(client, revision, wait_timeout_s)
    document = {
        "revision": revision,
        "changes": changes,
        "in_force": True if wait else None,
    }
    output.print_result(document, *(["in force on every entry VM"] if wait else []))


async def wait_until_in_force(
    client: AdminClient, revision: int, timeout_s: float
) -> None:
    """Wait until a revision is in force on every entry VM.

    Raises
    ------
    CommandError
        The timeout expired, and the sheet stays applied; or a request was refused.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        try:
            status = await client.read("/admin/status")
            behind = [
                vm["name"] for vm in status["entry_vms"] if vm["revision"] < revision
            ]
            cause = f"not yet in force on {', '.join(behind)}"
        except CommandError as error:
            if error.code != ExitCode.UNAVAILABLE:
                raise
            behind, cause = [], error.message
        else:
            if status["entry_vms"] and not behind:
                return
        if time.monotonic() >= deadline_s:
            raise CommandError(
                ExitCode.UNAVAILABLE,
                f"applied as revision {revision}, but {cause} after {timeout_s:g} s; "
                "it is propagated without further action, see `ebonyctl status`",
                revision=revision,
                behind=behind,
            )
        await asyncio.sleep(POLL_INTERVAL_S)
