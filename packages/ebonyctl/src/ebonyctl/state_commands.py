"""Commands that read the state of running entry VMs from their metrics addresses."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from . import entry_vm_states
from .output import Output

MetricsAddresses = Annotated[
    list[str],
    cappa.Arg(
        value_name="ADDRESS",
        num_args=-1,
        help="Metrics addresses of entry VMs; the port is 9464 if it is left out.",
    ),
]


class StateCommand:
    """Base class of the commands that read the metrics addresses of entry VMs."""

    addresses: list[str]

    async def run(self, output: Output) -> None:
        """Read the states of the entry VMs and print a part of them."""
        self.show(await entry_vm_states.read_states(self.addresses, output), output)

    def show(self, states: list[entry_vm_states.State], output: Output) -> None:
        """Print a part of the states."""
        raise NotImplementedError


@cappa.command(
    help="Show the number of keys of each customer, and when keys were taken away.",
    epilog="Example: ebonyctl keys 10.0.0.1 10.0.0.2:9464",
)
@dataclass
class Keys(StateCommand):
    """Show the keys."""

    addresses: MetricsAddresses

    def show(self, states: list[entry_vm_states.State], output: Output) -> None:
        """Print the keys."""
        entry_vm_states.print_keys(states, output)


@cappa.command(
    help="Show which entry VM holds which duty, with its fencing token.",
    epilog="Example: ebonyctl duties 10.0.0.1 10.0.0.2:9464",
)
@dataclass
class Duties(StateCommand):
    """Show the holders of duties."""

    addresses: MetricsAddresses

    def show(self, states: list[entry_vm_states.State], output: Output) -> None:
        """Print the holders of duties."""
        entry_vm_states.print_duties(states, output)


@cappa.command(
    help="Show the last windows of usage that were summed and accepted.",
    epilog="Example: ebonyctl usage 10.0.0.1 10.0.0.2:9464",
)
@dataclass
class Usage(StateCommand):
    """Show the reported usage."""

    addresses: MetricsAddresses

    def show(self, states: list[entry_vm_states.State], output: Output) -> None:
        """Print the reported usage."""
        entry_vm_states.print_usage(states, output)


@cappa.command(
    help="Show servers wanted and listed by failure domain and kind, and why.",
    epilog="Example: ebonyctl scaling 10.0.0.1 10.0.0.2:9464",
)
@dataclass
class Scaling(StateCommand):
    """Show the numbers of servers."""

    addresses: MetricsAddresses

    def show(self, states: list[entry_vm_states.State], output: Output) -> None:
        """Print the numbers of servers."""
        entry_vm_states.print_scaling(states, output)
