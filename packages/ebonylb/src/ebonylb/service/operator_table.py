"""Followers of the rows that the operator, trainers and backend servers write."""

import logging
from collections.abc import Callable, Sequence

import msgspec

from ..fleet import ListedServer, ServerDirectory
from ..interfaces.row_store import StoredRow
from ..interfaces.server_client import ModelVersion
from ..routes import Configuration, RouteTable
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

Decode = Callable[[StoredRow], object | None]


class OperatorReader(TableReader):
    """Puts configurations and named versions in force.

    Parameters
    ----------
    decode : callable
        Returns a `Configuration`, a `ModelVersion`, or None for another row.
    """

    def __init__(
        self,
        decode: Decode,
        routes: RouteTable,
        name_version: Callable[[ModelVersion], None],
    ) -> None:
        self.decode = decode
        self.routes = routes
        self.name_version = name_version

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over all rows."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over changed rows."""
        for row in rows:
            if row.deleted:
                continue
            try:
                found = self.decode(row)
            except (msgspec.MsgspecError, ValueError) as error:
                logger.error(
                    "unreadable operator row",
                    extra={"key": row.row_key.key, "cause": str(error)},
                )
                continue
            if isinstance(found, Configuration):
                self.routes.apply(found)
            elif isinstance(found, ModelVersion):
                self.name_version(found)


class ServerReader(TableReader):
    """Keeps the directory of backend servers in step with their rows.

    A row that cannot be read names no server; the others hold.
    """

    def __init__(
        self, decode: Callable[[StoredRow], ListedServer], directory: ServerDirectory
    ) -> None:
        self.decode = decode
        self.directory = directory
        self.unreadable: dict[str, str] = {}

    def read(self, row: StoredRow) -> ListedServer | None:
        """Return the server of a row; an unreadable one is logged once."""
        try:
            return self.decode(row)
        except (msgspec.MsgspecError, ValueError) as error:
            if self.unreadable.get(row.row_key.key) != str(error):
                self.unreadable[row.row_key.key] = str(error)
                logger.warning(
                    "unreadable server row",
                    extra={"server": row.row_key.key, "cause": str(error)},
                )
            return None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over all rows."""
        found = [server for row in rows if (server := self.read(row)) is not None]
        self.directory.replace_all(found)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over changed and deleted rows."""
        for row in rows:
            server = None if row.deleted else self.read(row)
            if server is None:
                self.directory.remove(row.row_key.key)
            else:
                self.directory.put(server)

    def on_store_regained(self) -> None:
        """Give entries that lapsed meanwhile time to return."""
        self.directory.record_list_recovery()
