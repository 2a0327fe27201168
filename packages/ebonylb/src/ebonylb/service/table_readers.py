"""Readers of the tables that operators, trainers and backend servers write."""

import functools
from collections.abc import Callable, Sequence

from ..fleet import ListedServer, ServerDirectory
from ..interfaces.row_store import StoredRow
from ..interfaces.server_client import ModelVersion
from ..routes import Configuration, RouteTable
from ..storage.follower import TableReader

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
                self.unreadable.forget(row.row_key.key)
                continue
            decoded = self.unreadable.read(row, functools.partial(self.decode, row))
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

    def read_server(self, row: StoredRow) -> ListedServer | None:
        """Return the server of a row; None, logged once, if it cannot be decoded."""
        return self.unreadable.read(row, functools.partial(self.decode, row))

    def replace_rows(self, rows: Sequence[StoredRow]) -> None:
        """Replace the directory's servers with those of the rows."""
        servers = [
            server for row in rows if (server := self.read_server(row)) is not None
        ]
        self.directory.replace_all(servers)

    def change_rows(self, rows: Sequence[StoredRow]) -> None:
        """Update or remove the servers of the changed rows."""
        for row in rows:
            if row.deleted:
                self.unreadable.forget(row.row_key.key)
            server = None if row.deleted else self.read_server(row)
            if server is None:
                self.directory.remove(row.row_key.key)
            else:
                self.directory.put(server)

    def reject_row(self, row: StoredRow) -> None:
        """Remove the server of a row that could not be applied."""
        self.directory.remove(row.row_key.key)

    def on_store_regained(self) -> None:
        """Give servers whose entries expired during the outage time to return."""
        self.directory.record_list_recovery()
