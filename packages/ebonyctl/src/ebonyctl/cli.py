"""Command line of ``ebonyctl``: commands, options and exit codes."""

import asyncio
import os
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Annotated

import cappa

from . import inspection, placements, sheets, step_times, traces
from .client import AdminClient
from .exits import CommandError, ExitCode
from .output import Output
from .state_commands import Duties, Keys, Scaling, StateCommand, Usage

EXIT_CODES = """Exit codes: 0 ok, 2 usage, 3 refused input, 4 conflict, 5 unavailable,
6 not found, 7 unauthorised, 130 interrupted."""

SheetPath = Annotated[str, cappa.Arg(value_name="SHEET", help="Sheet file.")]


@cappa.command(
    help="Explain a request, an item or a batch from log files.",
    epilog="Example: ebonyctl trace 9c41d07be2a35f68 entry-1.log entry-2.log",
)
@dataclass
class Trace:
    """Explain a request from the logs of the entry VMs, without a running system."""

    request: Annotated[
        str, cappa.Arg(value_name="ID", help="Id of the request, item or batch.")
    ]
    logs: Annotated[
        list[str], cappa.Arg(value_name="LOG", num_args=-1, help="Log files.")
    ]

    def run(self, output: Output) -> None:
        """Print the log lines about the request."""
        lines = traces.find_related_lines(traces.read_lines(self.logs), self.request)
        if not lines:
            fix = "give the logs of all entry VMs, and of the time of the request"
            message = f"{self.request}: no line names it: {fix}"
            raise CommandError(ExitCode.NOT_FOUND, message)
        output.print_result(
            {"lines": [asdict(line) for line in lines]},
            *(traces.format_line(line) for line in lines),
        )


@cappa.command(
    help="Show where the time of each batch went, from log files.",
    epilog="Example: ebonyctl steps entry-1.log entry-2.log",
)
@dataclass
class Steps:
    """Show the stages of the last item of each batch, without a running system."""

    logs: Annotated[
        list[str], cappa.Arg(value_name="LOG", num_args=-1, help="Log files.")
    ]

    def run(self, output: Output) -> None:
        """Print a row for each finished batch."""
        rows = step_times.measure_batches(traces.read_lines(self.logs))
        if not rows:
            message = "no batch was accepted and finished in these logs"
            raise CommandError(ExitCode.NOT_FOUND, message)
        output.print_result(
            {"batches": [asdict(row) for row in rows]},
            step_times.HEADER,
            *(row.format() for row in rows),
        )


class OnlineCommand:
    """Base class of the commands that need a running system."""

    async def run(self, client: AdminClient, output: Output) -> None:
        """Run the command with a client of the entry VMs."""
        raise NotImplementedError


@cappa.command(
    help="Check files without a running system.",
    epilog="Example: ebonyctl check sheet.jsonc --settings vm-1.jsonc",
)
@dataclass
class Check:
    """Check a sheet, a settings file, or both."""

    sheet: Annotated[str | None, cappa.Arg(value_name="SHEET", help="Sheet file.")] = (
        None
    )
    settings: Annotated[
        str | None,
        cappa.Arg(long=True, value_name="FILE", help="Settings file of an entry VM."),
    ] = None


@cappa.command(
    help="Apply a sheet, and wait until it is in force on every entry VM.",
    epilog="Example: ebonyctl apply sheet.jsonc --base 41",
)
@dataclass
class Apply(OnlineCommand):
    """Apply a sheet."""

    sheet: SheetPath
    base: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name="REVISION",
            help="Revision that the sheet was made from; default: the one in force.",
        ),
    ] = None
    wait: Annotated[
        bool,
        cappa.Arg(
            long=["--wait", "--no-wait"], help="Wait until it is in force everywhere."
        ),
    ] = True
    wait_limit: Annotated[
        float, cappa.Arg(long=True, value_name="SECONDS", help="Maximum wait.")
    ] = 30.0

    async def run(self, client: AdminClient, output: Output) -> None:
        """Apply the sheet, and wait if requested."""
        await sheets.apply(
            client, output, self.sheet, self.base, self.wait, self.wait_limit
        )


@cappa.command(
    help="Show what applying a sheet would change.",
    epilog="Example: ebonyctl diff sheet.jsonc",
)
@dataclass
class Diff(OnlineCommand):
    """Compare a sheet with the one in force."""

    sheet: SheetPath

    async def run(self, client: AdminClient, output: Output) -> None:
        """Print the differences."""
        await sheets.show_diff(client, output, self.sheet)


@cappa.command(
    help="Show entry VMs and backend servers.",
    epilog="Example: ebonyctl status --json",
)
@dataclass
class Status(OnlineCommand):
    """Show entry VMs and backend servers."""

    async def run(self, client: AdminClient, output: Output) -> None:
        """Show entry VMs and backend servers."""
        await inspection.show_status(client, output)


@cappa.command(
    help="Show entitled and served shares of each party.",
    epilog="Example: ebonyctl shares",
)
@dataclass
class Shares(OnlineCommand):
    """Show the shares of each party."""

    async def run(self, client: AdminClient, output: Output) -> None:
        """Show the shares of each party."""
        await inspection.show_shares(client, output)


@cappa.command(
    help="Show who changed what, newest first.",
    epilog="Example: ebonyctl audit --limit 10",
)
@dataclass
class Audit(OnlineCommand):
    """Show the rows of the audit log."""

    limit: Annotated[
        int, cappa.Arg(long=True, value_name="ROWS", help="Rows to show, up to 500.")
    ] = 50

    async def run(self, client: AdminClient, output: Output) -> None:
        """Show the newest rows."""
        await inspection.show_audit(client, output, self.limit)


@cappa.command(
    help="Mark a backend server as leaving, so that it gets no new work.",
    epilog="Example: ebonyctl drain kiln-lm-3 --undo",
)
@dataclass
class Drain(OnlineCommand):
    """Mark a backend server as leaving, or as available again."""

    server: Annotated[
        str, cappa.Arg(value_name="SERVER", help="Name as in `ebonyctl status`.")
    ]
    undo: Annotated[bool, cappa.Arg(long=True, help="Let it take work again.")] = False

    async def run(self, client: AdminClient, output: Output) -> None:
        """Send the order for the server."""
        await inspection.drain(client, output, self.server, self.undo)


@cappa.command(
    help="Show the decisions taken for a recent request, or where a request would be "
    "placed now. For the latter give --host and --path, and with --endpoint the "
    "metrics address of one entry VM; nothing is sent to servers.",
    epilog="Example: ebonyctl explain r-5f0c2b7d9a1e4c38, or ebonyctl explain "
    "--endpoint http://10.0.0.1:9464 --host site --path /ask/1",
)
@dataclass
class Explain(OnlineCommand):
    """Show the decisions on a request, or the placement of one that is not sent."""

    request: Annotated[
        str, cappa.Arg(value_name="REQUEST", help="Id from the response.")
    ] = ""
    host: Annotated[
        str,
        cappa.Arg(long=True, value_name="HOST", help="Host that selects the route."),
    ] = ""
    path: Annotated[
        str,
        cappa.Arg(long=True, value_name="PATH", help="Path that selects the route."),
    ] = ""
    customer: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="NAME",
            help="Name of the customer; keys are not needed.",
        ),
    ] = ""
    tokens: Annotated[
        int, cappa.Arg(long=True, value_name="TOKENS", help="Prompt of a batch item.")
    ] = 0
    output_tokens: Annotated[
        int,
        cappa.Arg(long=True, value_name="TOKENS", help="Estimated output of an item."),
    ] = 0
    model: Annotated[
        str, cappa.Arg(long=True, value_name="MODEL", help="Model of a batch item.")
    ] = ""
    min_version: Annotated[
        int, cappa.Arg(long=True, value_name="VERSION", help="Oldest weight version.")
    ] = 0
    group: Annotated[
        str, cappa.Arg(long=True, value_name="GROUP", help="Group of a batch item.")
    ] = ""

    @property
    def is_placement(self) -> bool:
        """Whether a placement is asked for, and not past decisions."""
        return bool(self.host or self.path)

    def explain_placement(self, output: Output, endpoints: Sequence[str]) -> None:
        """Show where the request, or an item with its id, would be placed."""
        if not (self.host and self.path):
            raise CommandError(ExitCode.USAGE, "give both --host and --path")
        question = asdict(self)
        question["request_id"] = question.pop("request")
        placements.explain(output, endpoints, question)

    async def run(self, client: AdminClient, output: Output) -> None:
        """Show the decisions."""
        await inspection.show_decisions(client, output, self.request)


@cappa.command(
    name="ebonyctl",
    help="Command line for operators of ebonylb.",
    epilog="Example: ebonyctl --endpoint http://10.0.0.1:8080 status. " + EXIT_CODES,
)
@dataclass
class Ebonyctl:
    """Command line with the options of all commands."""

    command: cappa.Subcommands[
        Check
        | Apply
        | Diff
        | Status
        | Shares
        | Audit
        | Drain
        | Explain
        | Trace
        | Steps
        | Keys
        | Duties
        | Usage
        | Scaling
    ]
    endpoint: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="URL",
            propagate=True,
            show_default=False,
            help="Base URL of an entry VM; repeat it for others to try next. Default: "
            "EBONYCTL_ENDPOINTS, separated by commas.",
        ),
    ] = field(default_factory=list)
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            show_default=False,
            help="Operator's token. Default: EBONYCTL_TOKEN, which other users of this "
            "machine cannot see in the list of processes.",
        ),
    ] = ""
    json: Annotated[
        bool,
        cappa.Arg(long=True, propagate=True, help="Print one JSON document."),
    ] = False


def find_endpoints(options: Ebonyctl) -> list[str]:
    """Return the endpoints of the options, or of the environment."""
    environment_endpoints = os.environ.get("EBONYCTL_ENDPOINTS", "").split(",")
    return options.endpoint or [
        part.strip() for part in environment_endpoints if part.strip()
    ]


def create_client(options: Ebonyctl, output: Output) -> AdminClient:
    """Return a client for the endpoints and the token of the options.

    Both default to environment variables.

    Raises
    ------
    CommandError
        There is no endpoint, an endpoint is not a URL, or there is no token.
    """
    endpoints = find_endpoints(options)
    if not endpoints:
        fix = "give --endpoint URL or set EBONYCTL_ENDPOINTS"
        raise CommandError(ExitCode.USAGE, f"no endpoint of an entry VM: {fix}")
    for endpoint in endpoints:
        if not endpoint.startswith(("http://", "https://")):
            fix = "start it with http:// or https://"
            message = f"--endpoint: {endpoint!r} is not valid: {fix}"
            raise CommandError(ExitCode.USAGE, message)
    token = options.token or os.environ.get("EBONYCTL_TOKEN", "")
    if not token:
        message = "no token: give --token or set EBONYCTL_TOKEN"
        raise CommandError(ExitCode.UNAUTHORISED, message)
    return AdminClient(endpoints, token, output.print_notice)


async def run(options: Ebonyctl, output: Output) -> None:
    """Run the command of the options."""
    command = options.command
    if isinstance(command, Check):
        sheets.check(output, command.sheet, command.settings)
        return
    if isinstance(command, (Trace, Steps)):
        command.run(output)
        return
    if isinstance(command, Explain) and not command.request:
        message = "give the id of a request, or --host and --path"
        raise CommandError(ExitCode.USAGE, message)
    if isinstance(command, StateCommand):
        await command.run(output)
        return
    async with create_client(options, output) as client, output.progress():
        await command.run(client, output)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    argv = None if arguments is None else list(arguments)
    options = cappa.parse(Ebonyctl, argv=argv, completion=False)
    output = Output(options.json)
    command = options.command
    try:
        if isinstance(command, Explain) and command.is_placement:
            command.explain_placement(output, find_endpoints(options))
        else:
            asyncio.run(run(options, output))
    except CommandError as error:
        output.print_error(error)
        return int(error.code)
    except KeyboardInterrupt:
        output.print_notice(
            "interrupted; a change that was being sent may have taken effect"
        )
        return int(ExitCode.INTERRUPTED)
    return int(ExitCode.OK)
