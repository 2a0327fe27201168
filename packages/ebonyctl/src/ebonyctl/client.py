"""HTTP client of the ``/admin`` paths with failover between entry VMs."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp

from .exits import CommandError, ExitCode

# An entry VM attempts to apply a sheet for 5 s, after one read of the platform.
REQUEST_TIMEOUT_S = 15
CONNECT_TIMEOUT_S = 3


@dataclass(frozen=True, slots=True)
class Response:
    """Response of an entry VM; `body` is None if it is not a JSON object."""

    endpoint: str
    status: int
    body: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class TransportFailure:
    """Failure to get a response from an entry VM.

    `may_have_been_sent` is False only if no byte of the request was sent.
    """

    endpoint: str
    cause: str
    may_have_been_sent: bool


class AdminClient:
    """Sends a request to one entry VM after the other until one responds.

    Parameters
    ----------
    endpoints : list of str
        Base URLs of entry VMs.
    token : str
        Operator's bearer token.
    notice : callable
        Function that shows the operator a message when the next entry VM is tried.
    """

    def __init__(
        self, endpoints: list[str], token: str, notice: Callable[[str], None]
    ) -> None:
        self.endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self.token = token
        self.notice = notice

    async def __aenter__(self) -> "AdminClient":
        self.session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {self.token}"},
            timeout=aiohttp.ClientTimeout(
                total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.session.close()

    async def send_once(
        self, endpoint: str, method: str, path: str, body: dict[str, Any] | None
    ) -> Response | TransportFailure:
        """Send a request to one entry VM and return its response or the failure."""
        try:
            async with self.session.request(
                method, endpoint + path, json=body, allow_redirects=False
            ) as response:
                return Response(
                    endpoint, response.status, parse_object(await response.read())
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            cause = str(getattr(error, "os_error", error)) or repr(error)
            return TransportFailure(endpoint, cause, may_have_been_sent=False)
        except (aiohttp.ClientError, TimeoutError) as error:
            return TransportFailure(
                endpoint, str(error) or repr(error), may_have_been_sent=True
            )

    async def read(self, path: str, search_all: bool = False) -> dict[str, Any]:
        """Read a path from the first entry VM that responds.

        Parameters
        ----------
        path : str
            Path and query.
        search_all : bool
            Try the next entry VM also after status 404.
        """
        return await self.send_repeatable("GET", path, None, search_all)

    async def send_repeatable(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        search_all: bool = False,
    ) -> dict[str, Any]:
        """Send a request that is safe to repeat, until an entry VM responds.

        Raises
        ------
        CommandError
            No entry VM is available, or one refused the request.
        """
        error = None
        for endpoint in self.endpoints:
            result = await self.send_once(endpoint, method, path, body)
            if isinstance(result, Response) and result.status == 200 and result.body:
                return result.body
            is_not_found = isinstance(result, Response) and result.status == 404
            # An unavailable entry VM may have the record, so a later 404 must not
            # replace its error.
            if not (is_not_found and error):
                error = to_command_error(result)
            if error.code != ExitCode.UNAVAILABLE and not (search_all and is_not_found):
                break
            self.announce_next(endpoint, error.message)
        assert error is not None, "at least one endpoint is required"
        raise error

    def announce_next(self, endpoint: str, cause: str) -> None:
        """Show why the next entry VM is tried; nothing is shown for the last one."""
        if endpoint != self.endpoints[-1]:
            self.notice(f"{cause}; trying the next entry VM")

    async def apply(self, sheet: str, base_revision: int | None) -> int:
        """Apply a sheet and return its revision.

        The next entry VM is tried only if the sheet is known not to have been applied.

        Raises
        ------
        CommandError
            The sheet was refused, may have been applied, or no entry VM is available.
        """
        body = {"sheet": sheet, "base_revision": base_revision}
        error = None
        for endpoint in self.endpoints:
            result = await self.send_once(endpoint, "POST", "/admin/apply", body)
            if isinstance(result, Response) and result.status == 200 and result.body:
                return int(result.body["revision"])
            error = to_command_error(result)
            if error.code == ExitCode.UNAVAILABLE and not is_known_not_run(result):
                raise CommandError(
                    ExitCode.UNAVAILABLE,
                    f"the sheet may have been applied ({error.message}); it was not "
                    "sent again: look at `ebonyctl audit` and `ebonyctl diff SHEET` "
                    "first",
                    may_have_applied=True,
                )
            if error.code != ExitCode.UNAVAILABLE:
                break
            self.announce_next(
                endpoint, f"{error.message}; the sheet was not applied there"
            )
        assert error is not None, "at least one endpoint is required"
        raise error


def parse_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object in a body, or None if it is something else."""
    try:
        value = json.loads(body)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def is_known_not_run(result: Response | TransportFailure) -> bool:
    """Return whether a change is known to have had no effect."""
    if isinstance(result, TransportFailure):
        return not result.may_have_been_sent
    return result.body is not None and result.body.get("outcome") == "not_run"


def to_command_error(result: Response | TransportFailure) -> CommandError:
    """Return the error for a transport failure or an unsuccessful response."""
    if isinstance(result, TransportFailure):
        message = f"{result.endpoint} cannot be reached: {result.cause}"
        return CommandError(ExitCode.UNAVAILABLE, message)
    body = result.body or {}
    message = str(body.get("message", f"status {result.status}"))
    if result.status in (401, 403):
        fix = "give a token of tokens.operators with --token or EBONYCTL_TOKEN"
        return CommandError(ExitCode.UNAUTHORISED, f"{message}; {fix}")
    if result.status == 404:
        return CommandError(ExitCode.NOT_FOUND, message)
    if result.status == 409 and "difference" in body:
        current, author = body.get("current_revision"), body.get("author")
        message = (
            f"revision {current} by {author} is current; nothing was changed: compare, "
            f"merge it into the sheet and apply with --base {current}"
        )
        return CommandError(ExitCode.CONFLICT, message, **body)
    if result.status in (400, 413, 422):
        problems = body.get("problems", [message])
        return CommandError(ExitCode.REFUSED, "refused", problems=problems)
    message = f"{result.endpoint}: {message}"
    return CommandError(ExitCode.UNAVAILABLE, message)
