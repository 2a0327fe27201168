"""Open steps of an entry VM, their sessions and the versions of trainers."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from ..interfaces import Check, Clock, Conflict, TableService, Write
from ..outcomes import Outcome, Refusal, RefusedError, StepError, new_token
from ..peers import PeerBus
from ..peers.messages import Done, Message, StepSession, TrainerVersion
from ..routing import Executor
from ..storage import transact_settled
from .declaration import StepDeclaration
from .holder import HolderOptions, StepHolder
from .peer_interface import StepPeers
from .stream_lines import Moved

logger = logging.getLogger(__name__)

TABLE = "steps"
# One session per step; those of older steps are fenced by the trainer itself.
MAX_SESSIONS_PER_TRAINER = 16
PEER_TIMEOUT_MS = 2_000
ROW_WRITE_TIMEOUT_MS = 5_000
MAX_ROW_WRITE_ATTEMPTS = 4
RETRY_AFTER_MS = 500

SpendBudget = Callable[[str, str], bool]


@dataclass(frozen=True, slots=True)
class Session:
    """Newest known session of a step."""

    number: int
    holder: str

    def is_older(self, other: "Session") -> bool:
        """Return whether another session replaces this one.

        A duplicated request of a trainer can open the same session number on two entry
        VMs. The name of the holder decides then, so that all entry VMs agree.
        """
        return (self.number, other.holder) < (other.number, self.holder)


class StepService:
    """Opens steps for trainers and fences their older sessions.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    staleness_cap : callable
        Returns the staleness bound that the sheet sets for a service.
    spend_hedge_budget, spend_retry_budget : callable
        Take one unit of the budget of a party and service; return whether there was
        one.
    """

    holder_type = StepHolder

    def __init__(
        self,
        name: str,
        executor: Executor,
        peers: StepPeers,
        tables: TableService,
        clock: Clock,
        staleness_cap: Callable[[str], int],
        spend_hedge_budget: SpendBudget,
        spend_retry_budget: SpendBudget,
        options: HolderOptions | None = None,
    ) -> None:
        self.name = name
        self.executor = executor
        self.peers = peers
        self.tables = tables
        self.clock = clock
        self.staleness_cap = staleness_cap
        self.spend_hedge_budget = spend_hedge_budget
        self.spend_retry_budget = spend_retry_budget
        self.options = options or HolderOptions()
        self.sessions: dict[tuple[str, int], Session] = {}
        self.versions: dict[str, int] = {}
        self.holders: dict[tuple[str, int], StepHolder] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.draining = False

    def register(self, bus: PeerBus) -> None:
        """Register the handlers for messages of other entry VMs."""
        bus.on(StepSession, self.on_session)
        bus.on(TrainerVersion, self.on_version)

    def open(self, declaration: StepDeclaration) -> StepHolder:
        """Open a session; end older ones here and fence them on other entry VMs.

        Raises
        ------
        RefusedError
            The session is not the newest, or this entry VM is draining.
        """
        if self.draining:
            raise vm_draining()
        trainer, step = declaration.trainer, declaration.step
        session = Session(declaration.session, self.name)
        newest = self.sessions.get((trainer, step))
        if newest is not None and newest.number >= session.number:
            raise session_superseded(newest)
        self.record_session(trainer, step, session)
        self.record_version(trainer, declaration.trainer_version)
        service = declaration.service
        holder = self.holder_type(
            declaration,
            self.versions[trainer],
            min(declaration.staleness_bound, self.staleness_cap(service)),
            self.executor,
            self.clock,
            lambda: self.spend_hedge_budget(trainer, service),
            lambda: self.spend_retry_budget(trainer, service),
            self.options,
        )
        self.holders[trainer, step] = holder
        # In the background, because a trainer must not wait for a slow entry VM or
        # platform. The trainer's session number fences older streams in any case.
        for work in (
            self.announce_session(trainer, step, session),
            self.write_session_row(trainer, step, session),
        ):
            task = asyncio.create_task(work)
            self.background_tasks.add(task)
            task.add_done_callback(self.background_tasks.discard)
        return holder

    def close(self, holder: StepHolder) -> None:
        """Drop a holder whose stream has ended."""
        key = (holder.declaration.trainer, holder.declaration.step)
        if self.holders.get(key) is holder:
            del self.holders[key]

    def record_session(self, trainer: str, step: int, session: Session) -> Session:
        """Record a session if it is newer, and stop an older holder on this entry VM.

        Return the newest known session.
        """
        key = (trainer, step)
        newest = self.sessions.get(key)
        if newest is not None and not newest.is_older(session):
            return newest
        self.sessions[key] = session
        steps = sorted(s for t, s in self.sessions if t == trainer)
        for old_step in steps[:-MAX_SESSIONS_PER_TRAINER]:
            del self.sessions[trainer, old_step]
        holder = self.holders.pop(key, None)
        if holder is not None:
            holder.stop(Moved("superseded"))
        return session

    def record_version(self, trainer: str, version: int) -> None:
        """Record a trainer's version if it is higher; apply it to its open steps."""
        version = max(version, self.versions.get(trainer, 0))
        self.versions[trainer] = version
        for (owner, _), holder in self.holders.items():
            if owner == trainer:
                holder.set_version(version)

    async def announce_session(self, trainer: str, step: int, session: Session) -> None:
        """Fence older sessions on all entry VMs; yield to a newer one in a reply."""
        message = StepSession(trainer, step, session.number, session.holder)
        for reply in (await self.request_all(message)).values():
            if isinstance(reply, StepSession):
                newest = Session(reply.session, reply.holder)
                self.record_session(trainer, step, newest)

    async def write_session_row(
        self, trainer: str, step: int, session: Session
    ) -> None:
        """Write the session to the step's row unless the row has a newer one.

        Errors of the platform are logged, not raised.
        """
        key = f"{trainer}/{step}"
        value = {"session": session.number, "holder": session.holder}
        revision = 0
        for _ in range(MAX_ROW_WRITE_ATTEMPTS):
            written = await transact_settled(
                self.tables,
                self.clock,
                new_token(),
                [Check(TABLE, key, revision)],
                [Write(TABLE, key, value)],
                ROW_WRITE_TIMEOUT_MS,
            )
            if isinstance(written, Err):
                logger.info("session row %s not written: %s", key, written.err_value)
                return
            if not isinstance(written.ok_value, Conflict):
                return
            row = written.ok_value.rows[0]
            revision = row.revision if row else 0
            if row is not None:
                stored = Session(row.value["session"], row.value["holder"])
                if not stored.is_older(session):
                    self.record_session(trainer, step, stored)
                    return

    async def request_all(self, message: Message) -> dict[str, Message | StepError]:
        """Send a message to all other entry VMs; return reply or error by name."""

        async def request_from(entry_vm: str) -> Message | StepError:
            try:
                return await self.peers.request(entry_vm, message, PEER_TIMEOUT_MS)
            except StepError as error:
                return error

        names = self.peers.entry_vms()
        replies = await asyncio.gather(*(request_from(name) for name in names))
        return dict(zip(names, replies, strict=True))

    async def set_version(
        self,
        trainer: str,
        version: int,
        step: int | None = None,
        session: int | None = None,
    ) -> None:
        """Apply a trainer's version on all entry VMs; return once the holder has it.

        With `step` and `session` of the trainer's newest stream, a reply of the holder
        of that session is sufficient. Without them, or if this entry VM does not know
        the holder, every entry VM that may be alive has to reply.

        Raises
        ------
        RefusedError
            The version is not confirmed and the trainer must send it again.
        """
        self.record_version(trainer, version)
        replies_task = asyncio.ensure_future(
            self.request_all(TrainerVersion(trainer, version))
        )
        newest = self.sessions.get((trainer, step)) if step is not None else None
        if newest is not None and session is not None and newest.number >= session:
            self.background_tasks.add(replies_task)
            replies_task.add_done_callback(self.background_tasks.discard)
            if (
                newest.holder == self.name
                or newest.holder not in self.peers.entry_vms()
            ):
                return
            try:
                message = TrainerVersion(trainer, version)
                await self.peers.request(newest.holder, message, PEER_TIMEOUT_MS)
                return
            except StepError as error:
                raise version_unconfirmed(newest.holder) from error
        replies = await replies_task
        unconfirmed_vms = [
            name for name, reply in replies.items() if isinstance(reply, StepError)
        ]
        if unconfirmed_vms:
            raise version_unconfirmed(", ".join(sorted(unconfirmed_vms)))

    async def on_session(self, message: StepSession) -> Message:
        """Handle an announced session; reply with the newest one known here."""
        session = Session(message.session, message.holder)
        newest = self.record_session(message.trainer, message.step, session)
        return StepSession(message.trainer, message.step, newest.number, newest.holder)

    async def on_version(self, message: TrainerVersion) -> Message:
        """Handle a trainer's version; the reply confirms that it is applied."""
        self.record_version(message.trainer, message.version)
        return Done()

    async def drain(self, timeout_ms: float) -> None:
        """Refuse new sessions and end all streams with `moved` within `timeout_ms`."""
        self.draining = True
        holders = list(self.holders.values())
        await asyncio.gather(*(holder.drain(timeout_ms) for holder in holders))


def vm_draining() -> RefusedError:
    """Return the refusal of an entry VM that is shutting down."""
    return RefusedError(
        Refusal(
            Outcome.NOT_RUN,
            "draining",
            "this entry VM is shutting down; connect again to reach another",
            RETRY_AFTER_MS,
        )
    )


def session_superseded(newest: Session) -> RefusedError:
    """Return the refusal of a session that is not the newest."""
    return RefusedError(
        Refusal(
            Outcome.NOT_RUN,
            "session_superseded",
            f"session {newest.number} is open at entry VM {newest.holder}; use a "
            "higher session number",
        )
    )


def version_unconfirmed(entry_vms: str) -> RefusedError:
    """Return the refusal of a version that a holder has not confirmed."""
    return RefusedError(
        Refusal(
            Outcome.MAY_HAVE_RUN,
            "version_unconfirmed",
            f"no answer from entry VM {entry_vms}; send the version again, with step "
            "and session of the newest stream",
            RETRY_AFTER_MS,
        )
    )
