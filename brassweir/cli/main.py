"""``brassweir``: the group of all commands, each of which is imported only when it is used."""

from __future__ import annotations

from importlib import import_module

import click

from brassweir import __version__

# Module and attribute of each command, imported one by one: a node runs without the other commands' packages.
COMMANDS = {
    "as2": "as2:as2",
    "check": "serving:check_command",
    "destinations": "destinations:destinations",
    "import": "importing:importing",
    "journal": "journal:journal",
    "kept": "kept:kept",
    "keys": "keys:keys",
    "lab": "lab:lab",
    "node": "node:node",
    "regions": "regions:regions",
    "serve": "serving:serve_command",
}


class LazyGroup(click.Group):
    """A group that imports a command when it is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all command names."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; None if there is no such command.

        A command whose packages are not installed is replaced by one that names the missing package.
        """
        place = COMMANDS.get(cmd_name)
        if place is None:
            return None
        module, _, name = place.partition(":")
        try:
            command: click.Command = getattr(import_module(f"brassweir.cli.{module}"), name)
        except ModuleNotFoundError as error:
            if (error.name or "").partition(".")[0] == "brassweir":
                raise
            return _missing(cmd_name, error.name or "")
        return command


def _missing(name: str, package: str) -> click.Command:
    """Return a command that fails and names the package that the real one needs."""

    @click.command(
        name,
        context_settings={"ignore_unknown_options": True},
        help=f"Not installed here: needs {package}, which comes with the whole of brassweir.",
    )
    @click.argument("_", nargs=-1, type=click.UNPROCESSED)
    def missing(_: tuple[str, ...]) -> None:
        raise click.ClickException(
            f"{name} needs {package}, which is not installed here; "
            "pip install -e . brings all that brassweir needs"
        )

    return missing


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="brassweir")
def main() -> None:
    """A delivery service: takes messages and carries each to its destination, or says why not."""
