"""``brassweir``: every command hangs below this group, and is imported when it is asked for."""

from __future__ import annotations

from importlib import import_module

import click

from brassweir import __version__

# Each command's module and its name there. A lean sender must not pay for what it does not use.
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


class Lazy(click.Group):
    """A group whose commands are imported one at a time."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import one."""
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
    """Stands for a command whose packages are not installed, as beside a lean ``node``."""

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


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="brassweir")
def main() -> None:
    """A delivery service: takes messages and carries each to its destination, or says why not."""
