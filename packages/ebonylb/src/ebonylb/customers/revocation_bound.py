"""Age of this entry VM's view of the configuration, and what the age permits."""

import logging
import math

from ..interfaces import Clock

logger = logging.getLogger(__name__)

# Keys are honoured up to this share of the revocation time. The rest covers the
# difference in speed between the clocks of this machine and of the platform.
HONOUR_SHARE = 0.9


class RevocationBound:
    """Decides whether the view of the configuration is recent enough to honour keys.

    The view contains every configuration that was acknowledged before the call began
    whose rows were applied last. A caller who sends a request while the view is younger
    than the revocation time therefore has a key that was valid within that time.

    Parameters
    ----------
    clock : Clock
        Source of time; only the time that includes suspension is used.
    strict : bool
        Whether keys are refused once the view is too old. Otherwise they are honoured
        by any view, however old.
    revoke_ms : float
        Time after which no request may run with a key that was taken away.
    apply_ms : float
        Time after which a stored configuration is in force at every entry VM.

    Attributes
    ----------
    view_began_ms : float
        Start of the last call whose rows were applied; minus infinity before the first
        complete read.
    """

    def __init__(
        self, clock: Clock, strict: bool, revoke_ms: float, apply_ms: float
    ) -> None:
        self.clock = clock
        self.honour_ms = revoke_ms * HONOUR_SHARE if strict else math.inf
        self.apply_ms = apply_ms
        self.view_began_ms = -math.inf
        self.was_honouring = False

    def record_view(self, began_ms: float) -> None:
        """Record that the rows of a call, which began at `began_ms`, were applied."""
        self.view_began_ms = max(self.view_began_ms, began_ms)

    @property
    def has_view(self) -> bool:
        """Whether the configuration was read since the start of the process."""
        return self.view_began_ms > -math.inf

    def age_ms(self) -> float:
        """Return the age of the view; infinite before the first complete read."""
        return self.clock.boot_ms() - self.view_began_ms

    def is_recent(self) -> bool:
        """Return whether the view is recent enough to honour keys."""
        return self.has_view and self.age_ms() <= self.honour_ms

    def may_honour_keys(self) -> bool:
        """Return whether a key that the view contains may still be valid."""
        age_ms = self.age_ms()
        honours = self.is_recent()
        if honours is not self.was_honouring:
            self.was_honouring = honours
            logger.info(
                "keys honoured" if honours else "keys not honoured",
                extra={
                    "view_age_ms": round(age_ms) if self.has_view else None,
                    "limit_ms": self.honour_ms if self.honour_ms < math.inf else None,
                },
            )
        return honours

    def may_lack_keys(self) -> bool:
        """Return whether a key that the view lacks may be in force elsewhere."""
        return self.age_ms() > self.apply_ms
