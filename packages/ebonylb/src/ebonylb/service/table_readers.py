"""Readers of the tables that operators, trainers and backend servers write."""

import logging
from collections.abc import Callable, Sequence

import msgspec

from ..fleet import ListedServer, ServerDirectory
from ..interfaces.row_store import StoredRow
from ..interfaces.server_client import ModelVersion
from ..routes import Configuration, RouteTable
from ..storage.follower import TableReader

logger = logging.getLogger(__name__)

RowDecoder = Callable[[StoredRow], object | None]


class OperatorReader(TableReader):
    """Applies configurations and the weight versions named by trainers.

    Parameters
    ----------
    decode : callable
        Returns a `Configuration`, a `ModelVersion`, or None for any other row.
    routes : RouteTable
        Receives the configurations.
    set_target_version : callable
        Receives the weight versions.
    record_view : callable
        Receives the time at which each call began whose rows were applied.
    """

    def __init__(
        self,
        decode: RowDecoder,
        routes: RouteTable,
        set_target_version: Callable[[ModelVersion], None],
        record_view: Callable[[float], None],
    ) -> None:
        self.decode = decode
        self.routes = routes
        self.set_target_version = set_target_version
        self.record_view = record_view

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply all rows of the table."""
        self.change_rows(rows)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply the changed rows; deleted and unreadable ones are skipped."""
        for row in rows:
            if row.deleted:
                continue
            try:
                decoded = self.decode(row)
            except (msgspec.MsgspecError, ValueError) as error:
                logger.error(
                    "cannot decode operator row",
                    extra={"key": row.row_key.key, "cause": str(error)},
                )
                continue
            if isinstance(decoded, Configuration):
                self.routes.apply(decoded)
            elif isinstance(decoded, ModelVersion):
                self.set_target_version(decoded)

    def on_rows_applied(self, began_ms: float) -> None:
        """Record how recent the view of the configuration is."""
        self.record_view(began_ms)


class ServerReader(TableReader):
    """Updates the directory of backend servers from their rows.

    A row that cannot be decoded counts as missing and does not affect the other rows.

    Parameters
    ----------
    decode : callable
        Returns the server of a row.
    directory : ServerDirectory
        Directory to update.
    """

    def __init__(
        self, decode: Callable[[StoredRow], ListedServer], directory: ServerDirectory
    ) -> None:
        self.decode = decode
        self.directory = directory
        self.logged_errors: dict[str, str] = {}

    def read_server(self, row: StoredRow) -> ListedServer | None:
        """Return the server of a row; None, logged once, if it cannot be decoded."""
        try:
            return self.decode(row)
        except (msgspec.MsgspecError, ValueError) as error:
            if self.logged_errors.get(row.row_key.key) != str(error):
                self.logged_errors[row.row_key.key] = str(error)
                logger.warning(
                    "cannot decode server row",
                    extra={"server": row.row_key.key, "cause": str(error)},
                )
            return None

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Replace the directory's servers with those of the rows."""
        servers = [
            server for row in rows if (server := self.read_server(row)) is not None
        ]
        self.directory.replace_all(servers)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Update or remove the servers of the changed rows."""
        for row in rows:
            server = None if row.deleted else self.read_server(row)
            if server is None:
                self.directory.remove(row.row_key.key)
            else:
                self.directory.put(server)

    def on_store_regained(self) -> None:
        """Give servers whose entries expired during the outage time to return."""
        self.directory.record_list_recovery()
