"""State of one request in progress."""

from dataclasses import dataclass, field

from ..interfaces.server_client import SendProgress
from ..routes import Route
from .messages import CallerRequest


@dataclass(slots=True)
class RequestState:
    """State of one request in progress.

    Parameters
    ----------
    deadline_at_ms : float
        Monotonic time at which the final response is due.
    fingerprint : str or None
        Digest that is equal each time the request is sent. None for a request that
        never crashes servers by itself, so that their crashes do not count.
    tried_servers : set of str
        Names of the servers that the request was sent to.
    counted_attempts : int
        Attempts that ran or may have run, including those in progress.
    refused_attempts : int
        Attempts that certainly did not run.
    causes : list of str
        Causes of failed attempts.
    sent_to : list of str
        Names of the servers in the order of the attempts.
    internal_errors : int
        Attempts that a server answered with an internal error.
    spare_slots : int
        Free slots that each server should keep for other requests.
    software_version : str or None
        Only version of the servers' software on which the stream may go on; None for
        any.
    software_versions : list of str
        Versions of the servers' software that made the events of a stream, without
        repetitions.
    unfinished : list of (str, SendProgress)
        Server and progress of each attempt without an outcome.
    failed_connections : int
        Attempts that ended without a connection.
    may_have_run_before : bool
        Whether the request may have run in a pool of servers that it has left.
    relayed_for : str
        Entry VM that passed the request on to this one; empty for a caller's request.
    priority : int
        Priority of its customer, or of its route; 0 is the highest.
    """

    request: CallerRequest
    route: Route
    service: str
    deadline_at_ms: float
    fingerprint: str | None
    tried_servers: set[str] = field(default_factory=set)
    counted_attempts: int = 0
    refused_attempts: int = 0
    causes: list[str] = field(default_factory=list)
    sent_to: list[str] = field(default_factory=list)
    internal_errors: int = 0
    spare_slots: int = 0
    software_version: str | None = None
    software_versions: list[str] = field(default_factory=list)
    unfinished: list[tuple[str, SendProgress]] = field(default_factory=list)
    failed_connections: int = 0
    may_have_run_before: bool = False
    relayed_for: str = ""
    priority: int = 0

    @property
    def stream_id(self) -> str:
        """Id of the caller's request that brought the first event of the stream."""
        return self.request.resumes or self.request.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have got the request and not said that it did not run.

        An attempt that is still connecting has sent nothing.
        """
        connecting = sum(not progress.connected for _, progress in self.unfinished)
        return self.may_have_run_before or self.counted_attempts > connecting

    def usage_customer(self, resume_after: int | None) -> str:
        """Return the customer whose usage includes the next sending of the request.

        Empty if no server may count it: for a scoring request of a batch, which has no
        fingerprint, and once a server has begun the request, here or elsewhere.

        Parameters
        ----------
        resume_after : int or None
            Number of the last stream event already received.
        """
        continues = (resume_after or 0) > (self.request.resume_after or 0)
        if self.fingerprint is None or self.may_have_run_before or continues:
            return ""
        return self.request.customer

    def leave_pool(self) -> None:
        """Begin anew in another pool of servers.

        Attempts on servers that cannot be reached any more do not count for the new
        ones.
        """
        self.may_have_run_before = self.may_have_run
        self.causes = self.all_causes()
        self.unfinished = []
        self.tried_servers = set()
        self.counted_attempts = self.refused_attempts = 0

    def all_causes(self) -> list[str]:
        """Return the causes of failed attempts, and how far unfinished ones came."""
        return self.causes + [
            f"{server}: {'no answer yet' if progress.connected else 'still connecting'}"
            for server, progress in self.unfinished
        ]
