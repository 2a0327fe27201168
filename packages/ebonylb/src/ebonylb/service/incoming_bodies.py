"""Bodies that are being received, which count from the arrival of their bytes on."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .held_bytes import HeldBytes

# Bodies below this size are not counted: a write buffer takes them without a wait.
LARGE_BYTES = 65_536
# Memory of the connection of an answer that waits, beyond what was read: what the event
# loop reads at once, and as much in the reader of the body.
RECEIVE_BUFFER_BYTES = 524_288


class NoRoomError(ValueError):
    """An answer was given up so that others have room."""


class IncomingBody:
    """What has been received of an answer and is not passed on yet.

    Parameters
    ----------
    held : HeldBytes
        Counts it.
    close : callable
        Closes the connection on which the rest would come.
    stated_bytes : float
        Length that the answer states; infinite if it states none.

    Attributes
    ----------
    read_bytes : int
        Number of bytes that were read and are held.
    size : int
        Number of bytes that are counted, with those that were not read yet.
    began_ms : float
        Monotonic time at which it began.
    is_waiting : bool
        Whether it may not be read on now.
    is_given_up : bool
        Whether the rest is not wanted any more.
    """

    def __init__(
        self, held: "HeldBytes", close: Callable[[], None], stated_bytes: float
    ) -> None:
        self.held = held
        self.close = close
        self.stated_bytes = stated_bytes
        self.read_bytes = self.size = 0
        self.began_ms = held.clock.monotonic_ms()
        self.is_waiting = self.is_given_up = False

    def count(self, size: int) -> None:
        """Count what was read and is held; a small number of bytes is not counted."""
        counted = size + RECEIVE_BUFFER_BYTES if size >= LARGE_BYTES else 0
        self.held.received += counted - self.size
        self.read_bytes, self.size = size, counted

    @property
    def missing_bytes(self) -> float:
        """Number of bytes that should still come; infinite if it is not stated."""
        return self.stated_bytes - self.read_bytes

    async def wait_to_read_on(self, size: int) -> None:
        """Count what was read and is held, and wait until more may be read.

        Raises
        ------
        NoRoomError
            The answer was given up.
        """
        self.count(size)
        if not self.size or self.held.has_room_for_answers():
            return
        self.held.make_room()
        self.is_waiting = True
        try:
            if not self.ends_wait():
                self.held.metrics.incr("held.waits")
            while not self.ends_wait():
                await self.held.wait_for_release()
        finally:
            self.is_waiting = False
        if self.is_given_up:
            raise NoRoomError("no room for the rest of the answer")

    def ends_wait(self) -> bool:
        """Return whether the wait ends: with more to read, or with an error."""
        return self.is_given_up or self.held.may_read_on(self)

    def give_up(self) -> None:
        """End the wait for the rest."""
        self.is_given_up = True
        self.close()


class UnsizedUpload:
    """Body of a caller that states no length.

    Parameters
    ----------
    held : HeldBytes
        Counts it.

    Attributes
    ----------
    size : int
        Number of bytes that are counted.
    """

    def __init__(self, held: "HeldBytes") -> None:
        self.held = held
        self.size = 0

    def count(self, size: int) -> None:
        """Count another number of bytes; a small number is not counted."""
        counted = size if size >= LARGE_BYTES else 0
        self.held.bodies += counted - self.size
        self.size = counted

    async def grow(self, size: int) -> bool:
        """Count what has arrived, and wait for room; return False if there is none."""
        self.count(size)
        return not self.size or await self.held.wait_for_upload(LARGE_BYTES)
