"""HTTP interface to callers and to the load balancer."""

import functools
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from urllib.parse import unquote

import msgspec
from aiohttp import web
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from result import Err, Ok, Result

from ..batches import BatchService
from ..customers import BatchAccess, KeyCheck
from ..forwarding import CallerRequest, CallerResponse, CallerStream, Forwarder
from ..forwarding.last_requests import LEAVING, RETRY_ELSEWHERE_MS
from ..forwarding.messages import make_refusal
from ..interfaces import Clock
from ..outcomes import Outcome, Refusal
from ..routes import Route, RouteKind
from ..service.held_bytes import RETRY_AFTER_MS as NO_MEMORY_RETRY_AFTER_MS
from ..service.held_bytes import HeldBytes
from ..service.incoming_bodies import NoRoomError
from ..service.readiness import Readiness
from ..service.uploads import Uploads
from . import wire_names
from .batch_wire import decode_batch, encode_results
from .identity_headers import replace_identity
from .numbers import parse_count, parse_milliseconds
from .request_reading import COPIES_OF_BODY, read_counted
from .response_writing import ResponseWriter

logger = logging.getLogger(__name__)

# Maximum length of a header line; the limit in the configuration never exceeds it.
MAX_HEADER_BYTES = 16_384
MAX_WAIT_MS = 1_000.0
# Calls about batches end within this time, also while the store is slow.
MAX_BATCH_CALL_MS = 1_500.0
MALFORMED_BATCH = Refusal(Outcome.NOT_RUN, "malformed", "the body is not a batch")
BODY_NOT_RECEIVED = Refusal(
    Outcome.NOT_RUN,
    "leaving",
    "this entry VM leaves before the body has arrived; send it to another one",
    RETRY_ELSEWHERE_MS,
)
NO_MEMORY = Refusal(
    Outcome.NOT_RUN,
    "memory",
    "this entry VM holds too much for slow callers; send it to another one",
    NO_MEMORY_RETRY_AFTER_MS,
)
STATUS_BY_REASON = {
    "no_batch": 404,
    "malformed": 400,
    "no_route": 404,
    "missing_key": 401,
    "unknown_key": 401,
}


def build_retry_after_header(refusal: Refusal) -> dict[str, str]:
    """Return the header with the retry delay; empty if a retry cannot succeed."""
    if refusal.retry_after_ms is None:
        return {}
    return {wire_names.RETRY_AFTER: f"{refusal.retry_after_ms / 1000:g}"}


class Ingress:
    """Handlers of the requests of callers and of the load balancer.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards single requests.
    batches : BatchService
        Accepts batches and returns their results.
    readiness : Readiness
        State reported to the load balancer.
    clock : Clock
        Source of time.
    uploads : Uploads
        Reads request bodies.
    key_check : KeyCheck
        Identifies the customers of callers.
    held : HeldBytes or None
        Bounds what is held for slow callers; None for no bound.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        batches: BatchService,
        readiness: Readiness,
        clock: Clock,
        uploads: Uploads,
        key_check: KeyCheck,
        held: HeldBytes | None = None,
    ) -> None:
        self.forwarder = forwarder
        self.batches = batches
        self.readiness = readiness
        self.clock = clock
        self.uploads = uploads
        self.key_check = key_check
        self.held = held
        self.writer = ResponseWriter(held)

    async def handle_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a readiness check of the load balancer."""
        if request.path != wire_names.READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.readiness.is_ready() else 503)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a caller's request."""
        received_ms = self.clock.monotonic_ms()
        self.readiness.in_progress += 1
        try:
            path = request.raw_path.partition("?")[0]
            if path.startswith(wire_names.BATCH_PATH):
                return await self.handle_batch(request, path, received_ms)
            if path.startswith(wire_names.ITEM_PATH):
                return await self.handle_item(request, path, received_ms)
            return await self.handle_request(request, path, received_ms)
        finally:
            self.readiness.in_progress -= 1

    def close_if_leaving(self, response: web.Response) -> web.Response:
        """Close the connection after the response if this entry VM is leaving.

        This makes the caller open its next connection to another entry VM.
        """
        if self.readiness.leaving:
            response.force_close()
        return response

    def build_refusal_response(
        self,
        refusal: Refusal,
        request_id: str,
        status: int | None = None,
        should_log: bool = True,
    ) -> web.Response:
        """Return the response for a refusal, with its reason and retry delay.

        Parameters
        ----------
        refusal : Refusal
            Refusal to send.
        request_id : str
            Id of the request or batch.
        status : int or None
            HTTP status; None to choose it by the reason and the outcome.
        should_log : bool
            Whether to log the refusal; False for requests of the forwarder, which
            logs their end itself.
        """
        if status is None:
            status = STATUS_BY_REASON.get(refusal.reason)
        if status is None:
            status = 503 if refusal.outcome is Outcome.NOT_RUN else 502
        if should_log:
            logger.info(
                "request refused",
                extra={
                    "request_id": request_id,
                    "status": status,
                    "outcome": refusal.outcome,
                    "reason": refusal.reason,
                    "retry_after_ms": refusal.retry_after_ms,
                },
            )
        body = {
            "outcome": refusal.outcome,
            "reason": refusal.reason,
            "message": refusal.message,
            "retry_after_ms": refusal.retry_after_ms,
            "request_id": request_id,
        }
        headers = build_retry_after_header(refusal) | {
            wire_names.REQUEST_ID: request_id
        }
        return self.close_if_leaving(
            web.Response(
                status=status,
                body=msgspec.json.encode(body),
                content_type="application/json",
                headers=headers,
            )
        )

    async def handle_request(
        self, request: web.BaseRequest, path: str, received_ms: float
    ) -> web.StreamResponse:
        """Forward a single request or submit a batch, once its body may be held."""
        request_id = request.headers.get(wire_names.REQUEST_ID, "")
        if self.held is None:
            return await self.handle_body(request, request_id, path, received_ms)
        if request.content_length is None:
            with self.held.upload() as upload:
                read_body = functools.partial(read_counted, request, upload)
                return await self.handle_body(
                    request, request_id, path, received_ms, read_body
                )
        size = COPIES_OF_BODY * request.content_length
        if not await self.held.wait_for_upload(size):
            return self.build_refusal_response(NO_MEMORY, request_id)
        with self.held.hold(size):
            return await self.handle_body(request, request_id, path, received_ms)

    async def handle_body(
        self,
        request: web.BaseRequest,
        request_id: str,
        path: str,
        received_ms: float,
        read_body: Callable[[], Awaitable[bytes]] | None = None,
    ) -> web.StreamResponse:
        """Forward a single request, or submit a batch.

        Parameters
        ----------
        read_body : callable or None
            Reads the body; None to read it as it is.
        """
        try:
            body = await self.uploads.read(read_body or request.read)
        except HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        except NoRoomError:
            return self.build_refusal_response(NO_MEMORY, request_id)
        except TimeoutError:
            return self.build_refusal_response(BODY_NOT_RECEIVED, request_id)
        message = CallerRequest(
            request_id=request_id,
            method=request.method,
            host=request.headers.get("Host", ""),
            path=path,
            target=request.raw_path,
            headers=(),
            body=body,
            received_ms=received_ms,
            deadline_ms=parse_milliseconds(request.headers.get(wire_names.DEADLINE)),
            resume_after=parse_count(request.headers.get(wire_names.LAST_EVENT)),
            resumes=request.headers.get(wire_names.RESUMES, ""),
        )
        route = self.forwarder.find_route(message)
        if isinstance(route, CallerResponse):
            return self.build_refusal_response(route.refusal, request_id, route.status)
        identified = self.identify(request, message, route)
        if isinstance(identified, Err):
            return self.build_refusal_response(identified.err_value, request_id)
        message = identified.ok_value
        if route.kind is RouteKind.BATCH:
            return await self.submit_batch(message, route.name)
        response = await self.forwarder.serve(message, route)
        if isinstance(response, CallerStream):
            return await self.forward_stream(request, response)
        if response.refusal is not None:
            return self.build_refusal_response(
                response.refusal, request_id, response.status, should_log=False
            )
        if self.writer.is_large(response):
            return await self.writer.write_large(
                request, response, closes=self.readiness.leaving
            )
        web_response = web.Response(status=response.status, body=response.body)
        web_response.headers.clear()
        for name, value in response.headers:
            web_response.headers.add(name, value)
        web_response.headers["Content-Length"] = str(len(response.body))
        return self.close_if_leaving(web_response)

    def identify(
        self, request: web.BaseRequest, message: CallerRequest, route: Route
    ) -> Result[CallerRequest, Refusal]:
        """Return a request with its customer, and with the headers for servers."""
        keys = request.headers.getall(wire_names.AUTHORIZATION, ())
        has_customers = self.key_check.has_customers
        identity = self.key_check.identify(keys, route)
        if isinstance(identity, Err):
            return identity
        name = identity.ok_value.name if identity.ok_value is not None else ""
        headers = replace_identity(
            request.headers.items(), name if has_customers else None
        )
        return Ok(replace(message, headers=headers, customer=name))

    async def forward_stream(
        self, request: web.BaseRequest, stream: CallerStream
    ) -> web.StreamResponse:
        """Forward a stream; a broken stream ends without the final chunk."""
        return await self.writer.write_stream(
            request, stream, closes=self.readiness.leaving
        )

    async def submit_batch(self, message: CallerRequest, route: str) -> web.Response:
        """Submit the batch in a request and return the response."""
        if message.method != "POST":
            return web.Response(status=405)
        has_customers = self.key_check.has_customers
        batch = await decode_batch(
            message.body,
            message.request_id,
            route,
            message.host,
            self.clock.wall_ms(),
            message.customer if has_customers else None,
        )
        if batch is None or not message.request_id:
            return self.build_refusal_response(MALFORMED_BATCH, message.request_id)
        access = BatchAccess(message.customer, every_batch=not has_customers)
        refusal = await self.batches.submit(batch, access)
        if refusal is not None:
            return self.build_refusal_response(refusal, message.request_id)
        return self.close_if_leaving(web.Response(status=202))

    async def handle_batch(
        self, request: web.BaseRequest, path: str, received_ms: float
    ) -> web.StreamResponse:
        """Return results of a batch, or end the batch."""
        batch_id = unquote(path.removeprefix(wire_names.BATCH_PATH))
        if not self.readiness.has_configuration():
            return self.refuse_not_ready(batch_id)
        refusal = await self.check_access(request, batch_id, received_ms)
        if refusal is not None:
            return self.build_refusal_response(refusal, batch_id)
        if request.method == "DELETE":
            refusal = await self.batches.end(batch_id)
            if refusal is not None:
                return self.build_refusal_response(refusal, batch_id)
            return self.close_if_leaving(web.Response(status=200))
        after = parse_count(request.query.get("After", "0"))
        if after is None:
            return web.Response(status=400)
        wait_ms = parse_milliseconds(request.headers.get(wire_names.WAIT)) or 0.0
        if self.readiness.leaving:
            wait_ms = 0.0
        page = await self.batches.read(batch_id, after, min(wait_ms, MAX_WAIT_MS))
        if isinstance(page, Err):
            return self.build_refusal_response(page.err_value, batch_id)
        return self.close_if_leaving(
            web.Response(
                status=200,
                body=encode_results(page.ok_value),
                content_type="application/json",
            )
        )

    async def check_access(
        self, request: web.BaseRequest, batch_id: str, received_ms: float
    ) -> Refusal | None:
        """Return None if the caller may use a batch now, else the refusal."""
        if not self.forwarder.last_requests.accepts(received_ms + MAX_BATCH_CALL_MS):
            return LEAVING
        keys = request.headers.getall(wire_names.AUTHORIZATION, ())
        access = self.key_check.identify_batch_caller(keys)
        if isinstance(access, Err):
            return access.err_value
        if access.ok_value.every_batch:
            return None
        return await self.batches.check_access(batch_id, access.ok_value)

    async def handle_item(
        self, request: web.BaseRequest, path: str, received_ms: float
    ) -> web.StreamResponse:
        """Return the request body of a batch item."""
        batch_id = unquote(path.removeprefix(wire_names.ITEM_PATH))
        if not self.readiness.has_configuration():
            return self.refuse_not_ready(batch_id)
        refusal = await self.check_access(request, batch_id, received_ms)
        if refusal is not None:
            return self.build_refusal_response(refusal, batch_id)
        item_id = request.query.get("Id", "")
        body = await self.batches.item_body(batch_id, item_id)
        if isinstance(body, Err):
            return self.build_refusal_response(body.err_value, batch_id)
        return self.close_if_leaving(web.Response(status=200, body=body.ok_value))

    def refuse_not_ready(self, batch_id: str) -> web.Response:
        """Return the refusal for requests before the first configuration is read."""
        response = make_refusal(
            Outcome.NOT_RUN, "not_ready", "this entry VM is starting", 500
        )
        return self.build_refusal_response(response.refusal, batch_id)
