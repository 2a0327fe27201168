"""Entry VM with one mechanism disabled, to show that the checks detect it.

For tests only: ``python -m ebonylb_standins.broken_vm VARIANT --settings FILE``.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import replace

import uvloop

from ebonylb.adapters import HttpModelEngine
from ebonylb.backends import BackendRegistry
from ebonylb.calls import CallService, ClaimStore
from ebonylb.calls import service as call_service
from ebonylb.calls.records import RunRequest
from ebonylb.cli import read_settings
from ebonylb.configuration import ConfigurationPropagator, ConfigurationState
from ebonylb.configuration import store as configuration_store
from ebonylb.crashes import StrikeTable
from ebonylb.interfaces import CallResponse, EngineChunk, GenerateRequest
from ebonylb.outcomes import Outcome, RefusedError, StepError
from ebonylb.routing import Work
from ebonylb.service.app import EntryVmService
from ebonylb.service.run import run_service
from ebonylb.service.strike_propagation import StrikePropagator
from ebonylb.steps import StepDeclaration, StepHolder, StepService
from ebonylb.steps.attempts import Attempt
from ebonylb.telemetry import configure_logs

LATEST_POLL_INTERVAL_S = 0.05


def no_claim() -> None:
    """Dispatch calls whose keys were made by callers without claiming the key (P6)."""

    async def acquire(self: ClaimStore, record: object, deadline_ms: float) -> None:
        return None

    ClaimStore.acquire = acquire


def retry_calls() -> None:
    """Retry non-idempotent work like idempotent work (P6)."""

    def make_idempotent_work(*values: object, **named: object) -> Work:
        return Work(*values, **{**named, "idempotent": True})

    call_service.Work = make_idempotent_work


def wrong_not_run() -> None:
    """Refuse a run whose response was lost as ``not_run`` (P5)."""
    dispatch = CallService.dispatch

    async def dispatch_as_not_run(
        self: CallService, request: RunRequest
    ) -> CallResponse:
        try:
            return await dispatch(self, request)
        except RefusedError as error:
            outcome = Outcome.NOT_RUN
            raise RefusedError(replace(error.refusal, outcome=outcome)) from error

    CallService.dispatch = dispatch_as_not_run


def no_delivery_check() -> None:
    """Deliver samples without checking the trainer's version (P2)."""
    StepHolder.is_fresh = lambda self, oldest: True


def no_staleness() -> None:
    """Neither cancel nor discard samples that are too old (P2)."""
    no_delivery_check()
    Attempt.cancel_if_too_old = lambda self, min_version: None
    make_work = StepHolder.make_work

    def any_version(self: StepHolder, *values: object) -> Work:
        return replace(make_work(self, *values), min_version=0)

    StepHolder.make_work = any_version


def ordered_version() -> None:
    """Report the last published version instead of the one the engine names (P1)."""
    latest = {"version": 1}
    build = EntryVmService.build_weights
    generate = HttpModelEngine.generate

    async def follow_latest(vm: EntryVmService) -> None:
        while True:
            for name in vm.registry.services():
                published = await vm.platform.weights.latest(name)
                if published.is_ok() and published.ok_value is not None:
                    latest["version"] = published.ok_value.version
            await asyncio.sleep(LATEST_POLL_INTERVAL_S)

    def build_and_follow(self: EntryVmService) -> None:
        build(self)
        self.spawn(follow_latest(self), "latest")

    async def generate_with_latest(
        self: HttpModelEngine, request: GenerateRequest
    ) -> AsyncIterator[EngineChunk]:
        async with aclosing(generate(self, request)) as chunks:
            async for chunk in chunks:
                yield EngineChunk(chunk.text, chunk.tokens, latest["version"])

    EntryVmService.build_weights = build_and_follow
    HttpModelEngine.generate = generate_with_latest


def truncated_is_whole() -> None:
    """Accept a stream without its end marker as complete (P4)."""
    generate = HttpModelEngine.generate

    async def generate_leniently(
        self: HttpModelEngine, request: GenerateRequest
    ) -> AsyncIterator[EngineChunk]:
        has_chunks = False
        try:
            async with aclosing(generate(self, request)) as chunks:
                async for chunk in chunks:
                    has_chunks = True
                    yield chunk
        except StepError:
            if not has_chunks:
                raise

    HttpModelEngine.generate = generate_leniently


def no_bitmap() -> None:
    """Ignore acknowledged slots and fill all slots after a reconnect (P3)."""
    StepDeclaration.acknowledged_slots = lambda self: set()


def no_fence() -> None:
    """Let older sessions of a step continue beside the newest (P3)."""

    def record_session(
        self: StepService, trainer: str, step: int, session: object
    ) -> object:
        self.sessions[trainer, step] = session
        return session

    StepService.record_session = record_session


def older_revision() -> None:
    """Replace the configuration by any that is read, even a lower revision (P9)."""

    def advance(
        self: ConfigurationState, revision: int, sheet: object, author: str = ""
    ) -> bool:
        self.revision, self.sheet, self.author = revision, sheet, author
        self.ready = True
        return True

    ConfigurationState.advance = advance


def no_propagation() -> None:
    """Ignore updates from the platform and peers after the first sheet (P9)."""
    apply_update = ConfigurationPropagator.apply_update
    read_platform = ConfigurationPropagator.read_platform

    def apply_first_update(self: ConfigurationPropagator, message: object) -> None:
        if self.state.revision == 0:
            apply_update(self, message)

    async def read_until_first(self: ConfigurationPropagator, strong: bool) -> object:
        if strong or self.state.revision == 0:
            return await read_platform(self, strong)
        return None

    ConfigurationPropagator.apply_update = apply_first_update
    ConfigurationPropagator.read_platform = read_until_first


def blind_apply() -> None:
    """Store a sheet without checking the revision (P9)."""
    transact = configuration_store.transact_settled

    async def transact_unchecked(
        tables: object,
        clock: object,
        write_id: str,
        checks: object,
        writes: object,
        limit_ms: float,
    ) -> object:
        return await transact(tables, clock, write_id, [], writes, limit_ms)

    configuration_store.transact_settled = transact_unchecked


def ignore_marks() -> None:
    """Ignore leaving marks, so that leaving servers get work (P7)."""
    BackendRegistry.apply_mark = lambda self, record, mark: None
    publish = BackendRegistry.publish
    BackendRegistry.publish_new = lambda self, record: publish(self, record)


def no_wait() -> None:
    """Shut down without waiting for work in flight (P8)."""

    async def shutdown(self: EntryVmService) -> None:
        self.lifecycle.leave()

    EntryVmService.shutdown = shutdown


def no_strikes() -> None:
    """Send strikes neither to peers nor to the platform (crash bound)."""

    async def publish(self: StrikePropagator, report: object) -> bool:
        return True

    StrikePropagator.publish = publish
    StrikeTable.add = lambda self, report: None


def no_probe() -> None:
    """Never probe a suspect server, so that it does not recover (recovery)."""

    async def probe_until_clear(self: BackendRegistry, record: object) -> None:
        await asyncio.Event().wait()

    BackendRegistry.probe_until_clear = probe_until_clear


VARIANTS: dict[str, Callable[[], None]] = {
    "no-claim": no_claim,
    "retry-calls": retry_calls,
    "wrong-not-run": wrong_not_run,
    "no-delivery-check": no_delivery_check,
    "no-staleness": no_staleness,
    "ordered-version": ordered_version,
    "truncated-is-whole": truncated_is_whole,
    "no-bitmap": no_bitmap,
    "no-fence": no_fence,
    "older-revision": older_revision,
    "no-spread": no_propagation,
    "blind-apply": blind_apply,
    "ignore-marks": ignore_marks,
    "no-wait": no_wait,
    "no-strikes": no_strikes,
    "no-probe": no_probe,
}


def main() -> None:
    """Disable the mechanism and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("variant", choices=sorted(VARIANTS))
    parser.add_argument("--settings", required=True)
    options = parser.parse_args()
    settings = read_settings(options.settings)
    configure_logs(settings.name, settings.log_level)
    VARIANTS[options.variant]()
    uvloop.run(run_service(settings))


if __name__ == "__main__":
    main()
