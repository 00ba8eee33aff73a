"""``brassweir keys``: creates and shows keys and certificates."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click
from cryptography import x509

from brassweir.as2 import keys as as2_keys


@click.group()
def keys() -> None:
    """Make and show keys and certificates."""


@keys.command("make")
@click.argument("as2_id")
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("."),
    help="Where NAME.key.pem and NAME.crt.pem go.",
)
@click.option("--kind", type=click.Choice(as2_keys.KINDS), default="rsa2048", show_default=True)
@click.option("--days", type=click.FloatRange(0.001, 36500), default=365.0, show_default=True)
def make_command(as2_id: str, folder: Path, kind: str, days: float) -> None:
    """Make a key and a certificate signed by itself for AS2_ID. Never writes over a key."""
    try:
        key, certificate = as2_keys.write(as2_keys.make(as2_id, kind, days), folder)
    except FileExistsError as error:
        raise click.ClickException(f"{error.filename} exists; nothing was written") from None
    except OSError as error:
        raise click.ClickException(f"{error.filename}: {error.strerror}") from None
    click.echo(f"{key}\n{certificate}")


@keys.command("show")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def show_command(file: Path, as_json: bool) -> None:
    """Show whose certificate FILE holds, until when, and its fingerprint."""
    certificate = asdict(as2_keys.show(read_certificate(file)))
    if as_json:
        click.echo(json.dumps(certificate))
    else:
        for name, value in certificate.items():
            click.echo(f"{name:8} {value}")


def read_certificate(file: Path) -> x509.Certificate:
    """Read a certificate in PEM. Raises ClickException if it cannot be read."""
    try:
        return x509.load_pem_x509_certificate(file.read_bytes())
    except OSError as error:
        raise click.ClickException(f"{file}: {error.strerror}") from None
    except ValueError as error:
        raise click.ClickException(f"{file}: no PEM certificate: {error}") from None
