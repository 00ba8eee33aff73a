"""``brassweir as2``: sends, receives and explains single AS2 messages."""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
from pathlib import Path
from typing import Any

import click
import uvloop
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from brassweir.as2 import mdn, message, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.inspect import explain
from brassweir.as2.mdn import Disposition, Mdn
from brassweir.as2.message import Identity, Security
from brassweir.as2.sending import ClientAnswer, post, prepare_message
from brassweir.cli.keys import read_certificate
from brassweir.core.offload import Offload
from brassweir.core.ports import Payload
from brassweir.net.client import Address, CallFailed, HttpPool
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.server import Request, Response, Server

_path = click.Path(path_type=Path)


@click.group()
def as2() -> None:
    """Send, receive and explain AS2 messages by hand."""


def _identity(as2_id: str, key: Path, cert: Path) -> Identity:
    try:
        secret = load_pem_private_key(key.read_bytes(), None)
    except OSError as error:
        raise click.ClickException(f"{key}: {error.strerror}") from None
    except (ValueError, TypeError) as error:
        raise click.ClickException(f"{key}: no private key in PEM without a password: {error}") from None
    if not isinstance(secret, rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey):
        raise click.ClickException(f"{key}: only RSA and EC keys are served")
    return Identity(as2_id, secret, read_certificate(cert))


@as2.command("send")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--url", required=True, help="Where it is posted to.")
@click.option("--from", "sender", required=True, help="Our AS2 name.")
@click.option("--key", type=_path, required=True, help="Our key (PEM).")
@click.option("--cert", type=_path, required=True, help="Our certificate (PEM).")
@click.option("--to", "receiver", required=True, help="The AS2 name it is for.")
@click.option("--to-cert", type=_path, required=True, help="The receiver's certificate (PEM).")
@click.option("--subject", default="message", show_default=True)
@click.option("--content-type", default="application/octet-stream", show_default=True)
@click.option("--message-id", help="Send under this Message-ID, for instance again.")
@click.option("--wait", default=30, show_default=True, type=click.IntRange(1, 3600), help="Seconds to wait.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def send_command(
    file: Path,
    url: str,
    sender: str,
    key: Path,
    cert: Path,
    receiver: str,
    to_cert: Path,
    subject: str,
    content_type: str,
    message_id: str | None,
    wait: int,
    as_json: bool,
) -> None:
    """Post FILE, signed and encrypted, and print what the receipt says.

    Exits with 0 if it was delivered, 2 if refused, 1 otherwise.
    """
    ours, theirs = _identity(sender, key, cert), read_certificate(to_cert)
    ident = message_id or f"<{secrets.token_hex(16)}@{sender.replace(' ', '-')}>"
    payload = Payload(content_type, file.read_bytes(), subject)
    try:
        address = Address.parse(url)
        outgoing = prepare_message(ours, receiver, theirs, payload, ident, security=Security(), wait=wait)
        pool = HttpPool(address, Limits(), 1, 1000.0, 5000.0)
    except ValueError as error:
        raise click.ClickException(str(error)) from None

    async def work() -> ClientAnswer:
        offload = Offload(1)
        try:
            return await post(pool, outgoing, theirs, asyncio.get_running_loop().time() + wait, offload)
        except CallFailed as failed:
            return ClientAnswer("lost", str(failed))
        finally:
            pool.close_idle()
            offload.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        outcome = runner.run(work())
    if as_json:
        click.echo(
            json.dumps(
                {
                    "message_id": ident,
                    "answer": outcome.answer,
                    "reason": outcome.reason,
                    "retry_after": outcome.retry_after,
                }
            )
        )
    else:
        click.echo(f"{ident}: {outcome.answer}" + (f" ({outcome.reason})" if outcome.reason else ""))
    sys.exit({"delivered": 0, "accepted": 0, "refused": 2}.get(outcome.answer, 1))


@as2.command("receive")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="HOST:PORT; port 0: a free one.")
@click.option("--as2-id", required=True, help="Our AS2 name.")
@click.option("--key", type=_path, required=True, help="Our key (PEM).")
@click.option("--cert", type=_path, required=True, help="Our certificate (PEM).")
@click.option("--trust", type=_path, multiple=True, required=True, help="Certificates of senders (PEM).")
@click.option(
    "--count",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000_000),
    help="End after so many messages.",
)
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False), help="Write contents here.")
def receive_command(
    listen: str, as2_id: str, key: Path, cert: Path, trust: tuple[Path, ...], count: int, folder: Path | None
) -> None:
    """Take messages as a partner would, give receipts, and print one JSON line for each."""
    ours = _identity(as2_id, key, cert)
    trusted = [read_certificate(path) for path in trust]
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit():
        raise click.ClickException("--listen is HOST:PORT")
    received_count = 0

    async def work() -> None:
        all_received = asyncio.Event()
        offload = Offload(2)

        async def handler(request: Request) -> Response:
            nonlocal received_count
            response, line = await offload(lambda: _receive(request, ours, trusted, folder))
            click.echo(json.dumps(line))
            received_count += 1
            if received_count >= count:
                all_received.set()
            return response

        server = Server(handler, Limits())
        click.echo(json.dumps({"listening": await server.listen(host, int(port))}))
        await all_received.wait()
        await asyncio.sleep(0.1)
        server.drain()
        offload.close()

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(work())
    except OSError as error:
        raise click.ClickException(f"cannot listen on {listen}: {error.strerror}") from None


def _receive(
    request: Request, ours: Identity, trusted: list[Any], folder: Path | None
) -> tuple[Response, dict[str, Any]]:
    headers = request.headers
    ident = headers.first("message-id")
    line: dict[str, Any] = {"message_id": ident, "from": headers.first("as2-from")}
    entity = mime.of_http(
        headers.first("content-type"), headers.first("content-transfer-encoding"), request.body
    )
    try:
        received = message.read(entity, ours, trusted, max_layer_bytes=100_000_000)
        receipt = Mdn(
            ident, Disposition(), received.mic, received.micalg, ours.as2_id, ours.as2_id, "Processed."
        )
        line |= {"layers": list(received.layers), "bytes": len(received.payload.content)}
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{secrets.token_hex(8)}.bin"
            path.write_bytes(received.payload.content)
            line["file"] = str(path)
    except As2Error as error:
        receipt = Mdn(
            ident,
            Disposition("processed", "error", error.modifier.value),
            "",
            "",
            ours.as2_id,
            ours.as2_id,
            error.reason,
        )
        line["problem"] = f"{error.modifier.value}: {error.reason}"
    asked = mdn.parse_receipt_request(
        headers.first("disposition-notification-to"), headers.first("disposition-notification-options"), ""
    )
    if not asked.wanted:
        return Response(200 if "problem" not in line else 400), line
    content_type, body = mdn.build(receipt, ours, asked.micalg if asked.signed else "")
    return Response(
        200,
        Headers(
            [
                ("AS2-Version", "1.2"),
                ("AS2-From", mime.encode_as2_name(ours.as2_id)),
                ("AS2-To", headers.first("as2-from")),
                ("Content-Type", content_type),
            ]
        ),
        body,
    ), line


@as2.command("inspect")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--key", type=_path, help="A key (PEM) that opens it.")
@click.option("--cert", type=_path, help="The certificate of that key (PEM).")
@click.option("--trust", type=_path, multiple=True, help="Certificates (PEM) that may have signed it.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def inspect_command(
    file: Path, key: Path | None, cert: Path | None, trust: tuple[Path, ...], as_json: bool
) -> None:
    """Explain the AS2 message or receipt in FILE (header fields, an empty line, the body as sent)."""
    if (key is None) != (cert is None):
        raise click.ClickException("--key and --cert go together")
    ours = _identity("inspect", key, cert) if key is not None and cert is not None else None
    shown = explain(file.read_bytes(), ours, [read_certificate(path) for path in trust])
    if as_json:
        click.echo(json.dumps(shown))
        return
    for name, value in shown.items():
        if name == "parts":
            for part in value:
                rest = "  ".join(f"{k}: {v}" for k, v in part.items() if k not in ("depth", "type"))
                click.echo(f"{'  ' * part['depth']}{part['type']}  {rest}")
        elif isinstance(value, dict):
            for inner, one in value.items():
                click.echo(f"{name} {inner}: {one}")
        else:
            click.echo(f"{name}: {value}")
