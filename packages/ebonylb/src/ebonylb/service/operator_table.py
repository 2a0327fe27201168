"""Followers of the rows that the operator, trainers and backend servers write."""

import logging
from collections.abc import Callable, Sequence

import msgspec

from ..edges.row_store import StoredRow
from ..edges.server_port import ModelVersion
from ..fleet import ListedServer, ServerDirectory
from ..routes import Configuration, RouteTable
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

RowDecoder = Callable[[StoredRow], object | None]


class OperatorReader(TableReader):
    """Puts configurations and named versions in force.

    Parameters
    ----------
    decode : callable
        Returns a `Configuration`, a `ModelVersion`, or None for another row.
    """

    def __init__(
        self,
        decode: RowDecoder,
        routes: RouteTable,
        set_target_version: Callable[[ModelVersion], None],
    ) -> None:
        self.decode = decode
        self.routes = routes
        self.set_target_version = set_target_version

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over all rows."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over changed rows."""
        for row in rows:
            if row.deleted:
                continue
            try:
                decoded = self.decode(row)
            except (msgspec.MsgspecError, ValueError) as error:
                logger.error(
                    "unreadable operator row",
                    extra={"key": row.at.key, "cause": str(error)},
                )
                continue
            if isinstance(decoded, Configuration):
                self.routes.apply(decoded)
            elif isinstance(decoded, ModelVersion):
                self.set_target_version(decoded)


class ServerReader(TableReader):
    """Keeps the directory of backend servers in step with their rows.

    A row that cannot be read names no server; the others hold.
    """

    def __init__(
        self, decode: Callable[[StoredRow], ListedServer], directory: ServerDirectory
    ) -> None:
        self.decode = decode
        self.directory = directory
        self.logged_errors: dict[str, str] = {}

    def read_server(self, row: StoredRow) -> ListedServer | None:
        """Return the server of a row; an unreadable one is logged once."""
        try:
            return self.decode(row)
        except (msgspec.MsgspecError, ValueError) as error:
            if self.logged_errors.get(row.at.key) != str(error):
                self.logged_errors[row.at.key] = str(error)
                logger.warning(
                    "unreadable server row",
                    extra={"server": row.at.key, "cause": str(error)},
                )
            return None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over all rows."""
        servers = [
            server for row in rows if (server := self.read_server(row)) is not None
        ]
        self.directory.replace_all(servers)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Take over changed and deleted rows."""
        for row in rows:
            server = None if row.deleted else self.read_server(row)
            if server is None:
                self.directory.remove(row.at.key)
            else:
                self.directory.put(server)

    def on_store_regained(self) -> None:
        """Give entries that lapsed meanwhile time to return."""
        self.directory.record_list_recovery()
