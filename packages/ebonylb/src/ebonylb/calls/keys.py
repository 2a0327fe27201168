"""Keys issued by entry VMs: ``vk1.<entry vm>.<incarnation>.<sequence>.<mac>``."""

import hashlib
import hmac
from collections import deque
from dataclasses import dataclass

from ..interfaces import Clock

PREFIX = "vk1"
MAC_HEX_DIGITS = 32  # 128 bits
ISSUE_TIME_RESOLUTION_MS = 1_000  # bounds memory: one issue time a second, not a key


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Parsed key; its call is run only by the incarnation that issued it."""

    entry_vm: str
    incarnation: str
    sequence: int


class KeyIssuer:
    """Issues and verifies keys.

    The MAC covers the party, so a key is valid only for the party that requested it.
    A sequence number can be used for `retention_ms` after its issue.

    Parameters
    ----------
    secret : str
        Setting ``key_secret``, the same on all entry VMs of a site.
    retention_ms : float
        How long a key can be used after its issue.
    """

    def __init__(
        self,
        entry_vm: str,
        incarnation: str,
        secret: str,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        self.entry_vm = entry_vm
        self.incarnation = incarnation
        self.secret = secret.encode()
        self.clock = clock
        self.retention_ms = retention_ms
        self.last_sequence = 0
        self.issue_times: deque[tuple[float, int]] = deque()  # (time, last sequence)
        self.expired_sequence = 0

    def issue(self, party: str) -> str:
        """Issue a new key for a party."""
        self.last_sequence += 1
        now_ms = self.clock.monotonic_ms()
        if (
            self.issue_times
            and now_ms - self.issue_times[-1][0] < ISSUE_TIME_RESOLUTION_MS
        ):
            self.issue_times[-1] = (self.issue_times[-1][0], self.last_sequence)
        else:
            self.issue_times.append((now_ms, self.last_sequence))
        self.expire()
        unsigned_key = (
            f"{PREFIX}.{self.entry_vm}.{self.incarnation}.{self.last_sequence}"
        )
        return f"{unsigned_key}.{self.mac(unsigned_key, party)}"

    def mac(self, unsigned_key: str, party: str) -> str:
        """Return the MAC that binds a key without its MAC to a party."""
        text = f"{unsigned_key}\n{party}".encode()
        digest = hmac.new(self.secret, text, hashlib.sha256)
        return digest.hexdigest()[:MAC_HEX_DIGITS]

    def verify(self, text: str, party: str) -> IssuedKey | None:
        """Parse a key; return None if it was not issued to this party."""
        parts = text.split(".")
        if len(parts) != 5 or parts[0] != PREFIX:
            return None
        _, entry_vm, incarnation, sequence, mac = parts
        if not (sequence.isascii() and sequence.isdigit() and len(sequence) < 19):
            return None
        unsigned_key = text.rsplit(".", 1)[0]
        if not hmac.compare_digest(
            mac.encode(), self.mac(unsigned_key, party).encode()
        ):
            return None
        return IssuedKey(entry_vm, incarnation, int(sequence))

    def expire(self) -> int:
        """Drop expired issue times; return the highest expired sequence number."""
        expired_before_ms = (
            self.clock.monotonic_ms() - self.retention_ms - ISSUE_TIME_RESOLUTION_MS
        )
        while self.issue_times and self.issue_times[0][0] < expired_before_ms:
            self.expired_sequence = self.issue_times.popleft()[1]
        return self.expired_sequence


def has_issued_prefix(key: str) -> bool:
    """Return whether a key has the form of an issued key, valid or not."""
    return key.startswith(PREFIX + ".")
