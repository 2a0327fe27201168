"""Command line of the entry VM process: ``ebonylb serve`` and ``ebonylb check``."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop
from result import Err

from .service.run import run_service
from .settings import FileError, Settings, load_settings
from .telemetry import configure_logs

EXIT_REFUSED_INPUT = 3


def read_settings(path: str) -> Settings:
    """Return the settings of a file, or exit with a list of all its mistakes."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        error: FileError = loaded.err_value
        raise cappa.Exit(str(error), code=EXIT_REFUSED_INPUT)
    return loaded.ok_value


@cappa.command(name="serve", help="Run the entry VM process until SIGTERM.")
@dataclass
class Serve:
    """Example: ebonylb serve --settings /etc/ebonylb/settings.jsonc."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file.")]

    def __call__(self) -> None:
        """Run the service until it has shut down."""
        settings = read_settings(self.settings)
        configure_logs(settings.name, settings.log_level)
        uvloop.run(run_service(settings))


@cappa.command(name="check", help="Check a settings file without starting anything.")
@dataclass
class Check:
    """Example: ebonylb check --settings settings.jsonc."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file.")]

    def __call__(self) -> None:
        """Validate the settings file and print the result."""
        settings = read_settings(self.settings)
        print(f"{self.settings}: valid settings of entry VM {settings.name}")


@cappa.command(name="ebonylb", help="Rollout service for reinforcement learning.")
@dataclass
class Program:
    """The entry VM process."""

    command: cappa.Subcommands[Serve | Check]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Program)


if __name__ == "__main__":
    sys.exit(main())
