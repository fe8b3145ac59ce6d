"""The command line: one thin command for each thing to do."""

from collections.abc import Iterator, Mapping
from importlib import import_module
from importlib.metadata import version
from types import MappingProxyType
from typing import Annotated, Any, Final, cast

from msgspec import Struct
from typer import Exit, Option, Typer, echo
from typer.core import TyperGroup
from typer.main import get_command


class Place(Struct, frozen=True):
    """Say where a command is: a function, or a group of commands."""

    module: str
    member: str


COMMANDS: Final[Mapping[str, Place]] = MappingProxyType(
    {
        'node': Place('hillfield.cli.node', 'start_node'),
        'targets': Place('hillfield.cli.targets', 'show_targets'),
        'explain': Place('hillfield.cli.explain', 'explain_service'),
        'load': Place('hillfield.cli.load', 'show_load'),
        'refused': Place('hillfield.cli.refused', 'show_refused'),
        'timeline': Place('hillfield.cli.timeline', 'show_timeline'),
        'trace': Place('hillfield.cli.trace', 'trace_request'),
        'config': Place('hillfield.cli.config.commands', 'commands'),
        'settings': Place('hillfield.cli.settings', 'commands'),
        'experiment': Place('hillfield.cli.experiment', 'run_experiment'),
        'demo': Place('hillfield.cli.demo', 'run_demo'),
        'emulator': Place('hillfield.cli.emulator', 'commands'),
    },
)


class LazyCommands(Mapping[str, Any]):
    """Import a command's module when the command is asked for.

    A node so holds nothing of the trials, and a fault in them can't keep it
    from starting.
    """

    def __getitem__(self, name: str) -> Any:
        """Import and return a command."""
        place = COMMANDS[name]
        module = import_module(place.module)
        return make_command(name, getattr(module, place.member))

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names, as the help lists them."""
        return iter(COMMANDS)

    def __len__(self) -> int:
        """Count the commands."""
        return len(COMMANDS)


class LazyGroup(TyperGroup):
    """Hold the commands without importing them."""

    def __init__(self, **settings: Any) -> None:
        """Set up as typer wants it."""
        super().__init__(**settings)
        # Read only from here on, whatever the library's type says.
        self.commands = cast(Any, LazyCommands())


def make_command(name: str, member: Any) -> Any:
    """Return the command that typer makes of a function or a group."""
    made = member
    if not isinstance(member, Typer):
        made = Typer(add_completion=False, pretty_exceptions_enable=False)
        made.command(name)(member)
    command = get_command(made)
    command.name = name
    return command


def print_version(wanted: bool) -> None:
    """Print the version and end."""
    if wanted:
        echo(version('hillfield'))
        raise Exit


application = Typer(
    name='hillfield',
    cls=LazyGroup,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help='A proxy fleet for targets with gray failures.',
)


@application.callback()
def describe(
    show_version: Annotated[
        bool,
        Option(
            '--version',
            callback=print_version,
            is_eager=True,
            help='Print the version.',
        ),
    ] = False,
) -> None:
    """Hold the commands together."""


def run() -> None:
    """Run the command line."""
    application()
