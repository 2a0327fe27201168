"""Error that carries the failed operation and the peer of that operation."""


class StepError(Exception):
    """Failure of one operation with another process.

    Parameters
    ----------
    step : str
        Operation that failed, such as ``"platform.transact"``.
    peer : str
        Name or address of the other process.
    message : str
        Cause in one sentence.
    may_have_run : bool
        False only if the other process is known not to have run the operation.
    """

    def __init__(
        self, step: str, peer: str, message: str, may_have_run: bool = True
    ) -> None:
        super().__init__(f"{step} at {peer}: {message}")
        self.step = step
        self.peer = peer
        self.message = message
        self.may_have_run = may_have_run
