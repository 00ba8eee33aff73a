"""The command line: help texts, error messages, and single AS2 messages sent, received and inspected."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from brassweir.as2 import keys, message
from brassweir.as2.message import Security
from brassweir.cli.main import main
from brassweir.core.ports import Payload
from brassweir.journal.records import Ended, Final, Intent, Taken
from brassweir.journal.scan import scan
from brassweir.journal.storage import DirectoryStorage
from brassweir.journal.writer import Writer
from tests.conftest import identity


def commands(group: click.Group, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    found = [path]
    for name, command in group.commands.items():
        found += commands(command, (*path, name)) if isinstance(command, click.Group) else [(*path, name)]
    return found


@pytest.mark.parametrize("path", commands(main), ids=" ".join)
def test_every_command_explains_itself(path: tuple[str, ...]) -> None:
    result = CliRunner().invoke(main, [*path, "--help"])
    assert result.exit_code == 0 and "Usage:" in result.output and len(result.output.splitlines()) > 4


def test_keys_are_made_shown_and_never_written_over(tmp_path: Path) -> None:
    invoke = CliRunner().invoke
    made = invoke(main, ["keys", "make", "my office", "--folder", str(tmp_path), "--kind", "ec256"])
    assert made.exit_code == 0
    assert (tmp_path / "my_office.key.pem").stat().st_mode & 0o077 == 0
    shown = json.loads(invoke(main, ["keys", "show", str(tmp_path / "my_office.crt.pem"), "--json"]).output)
    assert shown["subject"] == "CN=my office" and shown["key"] == "EC secp256r1"
    again = invoke(main, ["keys", "make", "my office", "--folder", str(tmp_path)])
    assert again.exit_code == 1 and "exists" in again.output
    assert invoke(main, ["keys", "show", str(tmp_path / "my_office.key.pem")]).exit_code == 1


def test_check_reports_problems_as_json_and_serve_fails(tmp_path: Path) -> None:
    (tmp_path / "s.yaml").write_text("sender: {}\n")
    result = CliRunner().invoke(main, ["check", str(tmp_path / "s.yaml"), "--json"])
    report = json.loads(result.output)
    assert (
        result.exit_code == 1
        and not report["good"]
        and any("sender.name" in one for one in report["problems"])
    )
    assert CliRunner().invoke(main, ["serve", str(tmp_path / "none.yaml")]).exit_code == 1


def test_a_message_is_sent_received_and_explained(tmp_path: Path) -> None:
    for name in ("me", "you"):
        keys.write(identity(name), tmp_path)
    (tmp_path / "doc.xml").write_bytes(b"<a/>")
    base = [sys.executable, "-m", "brassweir", "as2"]
    receiver = subprocess.Popen(
        [
            *base,
            "receive",
            "--as2-id",
            "you",
            "--key",
            "you.key.pem",
            "--cert",
            "you.crt.pem",
            "--trust",
            "me.crt.pem",
            "--folder",
            "in",
            "--count",
            "2",
        ],
        cwd=tmp_path,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert receiver.stdout is not None
    port = json.loads(receiver.stdout.readline())["listening"]
    send = [
        *base,
        "send",
        "doc.xml",
        "--url",
        f"http://127.0.0.1:{port}/",
        "--from",
        "me",
        "--key",
        "me.key.pem",
        "--cert",
        "me.crt.pem",
        "--to",
        "you",
        "--to-cert",
        "you.crt.pem",
        "--json",
    ]
    sent = subprocess.run(send, cwd=tmp_path, capture_output=True, text=True, timeout=60, check=False)
    assert sent.returncode == 0 and json.loads(sent.stdout)["answer"] == "delivered", sent.stderr
    wrong = subprocess.run(
        [*send, "--key", "you.key.pem", "--cert", "you.crt.pem"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert wrong.returncode == 1 and "authentication-failed" in wrong.stdout
    lines = [json.loads(line) for line in receiver.communicate(timeout=30)[0].splitlines()]
    assert Path(tmp_path, lines[0]["file"]).read_bytes() == b"<a/>"
    assert "authentication-failed" in lines[1]["problem"]


def test_a_journal_is_verified_shown_and_rewritten(tmp_path: Path) -> None:
    folder = tmp_path / "j"
    files = DirectoryStorage(folder)
    writer = Writer(files, scan(files))
    writer.open()
    taken = Taken(7, "office", "bank\n<a@b>", "pay", "bank", "", 9e12, "a/b", "s", b"document")
    for record in (taken, Intent(7, 0, "e", 5.0), Final(7, "failed", "why", 0.0, 6.0)):
        writer.add(record, None)
    group = writer.next_group()
    assert group is not None
    writer.commit(group)
    invoke = CliRunner().invoke
    assert json.loads(invoke(main, ["journal", "verify", str(folder), "--json"]).output)["records"] == 3
    assert "in use by another process" in invoke(main, ["journal", "compact", str(folder)]).output
    files.close()
    shown = json.loads(invoke(main, ["journal", "show", str(folder), "<a@b>", "--json"]).output)
    assert [one["record"] for one in shown] == ["taken", "intent", "final"] and shown[0][
        "content"
    ] == "8 bytes"
    assert "no record" in invoke(main, ["journal", "show", str(folder), "8"]).output
    assert json.loads(invoke(main, ["journal", "stats", str(folder), "--json"]).output)["messages"] == {
        "pay failed": 1
    }
    assert invoke(main, ["journal", "compact", str(folder), "--remember-hours", "10000"]).exit_code == 0
    path = next(folder.glob("*.snap"))
    path.write_bytes(path.read_bytes()[:60] + b"x" + path.read_bytes()[61:])
    damaged = invoke(main, ["journal", "verify", str(folder)])
    assert damaged.exit_code == 1 and path.name in damaged.output


def test_inspect_explains_layers_signer_and_mic_and_what_it_cannot_open(tmp_path: Path) -> None:
    for name in ("me", "you"):
        keys.write(identity(name), tmp_path)
    built = message.build(
        Payload("text/xml", b"<a/>"), Security(), identity("me"), identity("you").certificate
    )
    path = tmp_path / "m.eml"
    path.write_bytes(
        f"AS2-From: me\r\nMessage-ID: <x>\r\nContent-Type: {built.content_type}\r\n\r\n".encode() + built.body
    )
    invoke = CliRunner().invoke
    opened = json.loads(
        invoke(
            main,
            [
                "as2",
                "inspect",
                str(path),
                "--json",
                "--key",
                str(tmp_path / "you.key.pem"),
                "--cert",
                str(tmp_path / "you.crt.pem"),
                "--trust",
                str(tmp_path / "me.crt.pem"),
            ],
        ).output
    )
    assert opened["message"]["layers"] == ["encrypted aes256-cbc", "signed sha256"]
    assert (opened["message"]["mic"], opened["message"]["signer"]) == (built.mic, "CN=me")
    shut = json.loads(invoke(main, ["as2", "inspect", str(path), "--json"]).output)
    assert "decryption-failed" in shut["message"]["problem"]
    assert "application/pkcs7-mime" in invoke(main, ["as2", "inspect", str(path)]).output


def test_a_journal_becomes_a_table(tmp_path: Path) -> None:
    import pyarrow.parquet as pq

    folder = tmp_path / "j"
    storage = DirectoryStorage(folder)
    writer = Writer(storage, scan(storage))
    writer.open()
    for ident, cls in ((1, "pay"), (2, "safe"), (3, "pay")):
        writer.add(
            Taken(ident, "office", f"m{ident}", cls, "bank", "k", 9_000.0, "a/b", "s", b"content"), None
        )
    writer.add(Intent(1, 0, "bank-a", 1_000.0), None)
    writer.add(Ended(1, 0, "bank-a", "timeout", 1_500.0), None)
    writer.add(Intent(2, 0, "bank-a", 1_000.5), None)
    writer.add(Final(1, "failed", "not delivered in time", 0.0, 2_000.0), None)
    group = writer.next_group()
    assert group is not None
    writer.commit(group)
    path = tmp_path / "out.parquet"
    done = CliRunner().invoke(main, ["journal", "export", str(folder), "--parquet", str(path), "--json"])
    assert done.exit_code == 0 and json.loads(done.output)["rows"] == 3, done.output
    storage.close()
    first, second, third = pq.read_table(path).to_pylist()
    assert (first["answer"], first["answered"].timestamp()) == ("failed", 2.0) and first[
        "content_bytes"
    ] is None
    assert (second["attempts"], second["results"], second["answer"]) == (1, [None], None)
    assert second["first_may_have_run"].timestamp() == 1.0 and second["content_bytes"] == 7
    assert (third["attempts"], third["first_may_have_run"], third["behind_hole"]) == (0, None, False)
    bad = CliRunner().invoke(
        main, ["journal", "export", str(folder), "--parquet", str(tmp_path / "none" / "x.parquet")]
    )
    assert bad.exit_code == 1 and "No such file" in bad.output and not (tmp_path / "none").exists()


def test_a_lean_installation_helps_and_names_what_is_missing() -> None:
    lean = (
        "import sys\nfor name in ('pydantic', 'cryptography', 'rich', 'lark', 'structlog'): sys.modules[name] = None\n"
        "from brassweir.cli.main import main\nmain()"
    )
    found = subprocess.run([sys.executable, "-c", lean, "--help"], capture_output=True, text=True)
    assert found.returncode == 0 and "node" in found.stdout and "Not installed here" in found.stdout
    found = subprocess.run(
        [sys.executable, "-c", lean, "serve", "x.yaml", "--plain-log"], capture_output=True, text=True
    )
    assert (
        found.returncode == 1
        and found.stderr.startswith("Error: serve needs ")
        and found.stderr.count("\n") == 1
    )
