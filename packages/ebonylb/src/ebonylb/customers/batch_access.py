"""Access of callers to batches, which belong to customers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BatchAccess:
    """Batches that one caller may read, submit again and end.

    Parameters
    ----------
    customer : str
        Customer of the caller; empty for a caller without a key.
    every_batch : bool
        Whether the customers of batches do not matter, as no customers are configured.
    """

    customer: str = ""
    every_batch: bool = False

    def allows(self, owner: str) -> bool:
        """Return whether the caller may use a batch.

        Parameters
        ----------
        owner : str
            Customer of the batch; empty for one that was submitted without a key,
            which belongs to nobody.
        """
        return self.every_batch or owner in ("", self.customer)


EVERY_BATCH = BatchAccess(every_batch=True)
