"""httpd balancers and mod_jk workers: what becomes an endpoint, and every complaint at its place."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.cli.main import main
from brassweir.config import lines
from brassweir.importers.apache import httpd, jk, meaning
from brassweir.importers.apache.meaning import Meaning

MAIN = """\
# balancers of the agencies
Define AGENCY north
<IfDefine EDGE>
  Include conf.d/*.conf
</IfDefine>
<IfDefine !EDGE>
  Include none.conf
</IfDefine>
<Macro member $host $port>
  BalancerMember "http://$host:$port/in" route=$host
</Macro>
<Proxy balancer://${AGENCY}>
  Use member $H n1 8080
  BalancerMember http://n2:8080/in \\
      route=n2 loadfactor=2 status=+H-H
  BalancerMember 'http://n3:8080/in' status=+D
  ProxySet lbmethod=byrequests stickysession=ID
</Proxy>
ProxyPass "/x" "balancer://north"
"""
INCLUDED = """\
<VirtualHost *:80>
  <proxy balancer://South>
    balancermember http://s1/ status=N hcmethod=GET
    BalancerMember http://S1
    BalancerMember http://s2 lbset=1 retry=5 max=20
    BalancerMember ajp://s3:8009 colour=red secret=x
  </Proxy>
</VirtualHost>
"""
WORKERS = """\
host.one=10.0.0.1
worker.list=lb, status
worker.base.type=ajp13
worker.base.port=8010
worker.base.lbfactor=3
worker.a.reference=worker.base
worker.a.host=$(host.one)
worker.b.reference=worker.a
worker.b.port=8011
worker.b.activation=D
worker.b.port=8012
worker.lb.type=lb
worker.lb.balance_workers=a
worker.lb.balanced_workers=b, \\
  c
worker.x.reference=worker.y
worker.y.reference=worker.x
worker.status.type=status
nonsense
"""


def httpd_of(text: str, files: dict[str, str] | None = None, defined: set[str] | None = None) -> Meaning:
    reader = httpd.Reader(
        lambda pattern, _: (
            sorted((files or {}).items())
            if "*" in pattern
            else [(pattern, files[pattern])]
            if files and pattern in files
            else []
        ),
        defined or set(),
    )
    made = meaning.of_httpd(reader.read("httpd.conf", text))
    made.complaints = reader.complaints + made.complaints
    return made


def said(made: Meaning) -> list[str]:
    return [str(one) for one in made.complaints]


def test_members_through_macros_definitions_and_continuations() -> None:
    text = MAIN.replace("Use member $H n1 8080", "Use member n1 8080")
    made = httpd_of(text)
    assert [(one.balancer, one.url, one.route, one.state, one.weight) for one in made.members] == [
        ("north", "http://n1:8080/in", "n1", "ready", 1.0),
        ("north", "http://n2:8080/in", "n2", "ready", 2.0),
        ("north", "http://n3:8080/in", "", "gone", 1.0),
    ]
    assert not made.members[1].standby, "+H-H is set and cleared again"
    assert (
        made.members[0].place.line == 10 and made.members[0].place.via == "macro member used at httpd.conf:13"
    )
    assert made.members[1].place.line == 14
    words = said(made)
    assert any(one.startswith("httpd.conf:7:1: no file 'none.conf'") for one in words)
    assert any("weights differ (1, 2)" in one for one in words) and any(
        "stickysession=ID is not carried" in one for one in words
    )
    assert [one.lost for one in made.complaints if "lbmethod" in one.what] == [False]


def test_includes_scopes_case_and_what_is_told() -> None:
    made = httpd_of(MAIN, {"conf.d/a.conf": INCLUDED}, {"EDGE"})
    south = [one for one in made.members if one.balancer == "south"]
    assert [(one.url, one.state, one.tier) for one in south] == [
        ("http://s1/", "draining", 0),
        ("http://s2", "ready", 1),
        ("ajp://s3:8009", "ready", 0),
    ]
    entries = {str(one["name"]): one for one in meaning.entries(made, "agency")}
    assert entries["south-2"]["state"] == "draining" and entries["south-2"]["url"] == "http://s2/"
    assert "south-3" not in entries, "ajp is not carried"
    words = said(made)
    for expected in (
        "conf.d/a.conf:4:1: http://S1 stands twice in south: also at conf.d/a.conf:3",
        "retry=5 is not carried",
        "secret=... is not carried",
        "colour=red is not known",
        "hcmethod: health checks",
        "only http is carried, and this is ajp",
        "macro member has 2 arguments, 3 are given",
    ):
        assert any(expected in one for one in words), (expected, words)
    assert "x" not in " ".join(one for one in words if "secret" in one).replace("secret", ""), (
        "secrets are not repeated"
    )


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("<Proxy balancer://a>\n", "is never closed"),
        ("</Proxy>\n", "closes nothing"),
        ("<Proxy balancer://a>\n</VirtualHost>\n</Proxy>\n", "closes nothing that is open"),
        ('BalancerMember "http://a\n', "cannot be read"),
        ("Use nothing\n", "no macro 'nothing'"),
        ("BalancerMember http://a\n", "without a balancer"),
        ("<Macro m>\nUse m\n</Macro>\nUse m\n", "nested deeper"),
        ("Include a.conf\n", "no file"),
        ("<Proxy balancer://a>\nBalancerMember http://${X}/\n</Proxy>\n", "${X} is not defined"),
        ("<Proxy balancer://a>\nBalancerMember http://x status=+D\n</Proxy>\n", "no member is in use"),
        ("<Proxy balancer://a>\nBalancerMember http://x status=+H\n</Proxy>\n", "all members are standbys"),
        (
            "<Proxy balancer://a>\nBalancerMember http://x status=Q loadfactor=much\n</Proxy>\n",
            "loadfactor=much is no number",
        ),
    ],
)
def test_bad_files_are_told_and_the_rest_is_read(text: str, words: str) -> None:
    made = httpd_of(text + "<Proxy balancer://good>\nBalancerMember http://fine/\n</Proxy>\n")
    assert any(words in one for one in said(made)), said(made)
    if "never closed" not in words:
        assert any(one.url == "http://fine/" for one in made.members)


def test_every_status_letter_set_and_cleared() -> None:
    for letter, state in (
        ("D", "gone"),
        ("S", "gone"),
        ("N", "draining"),
        ("I", "ready"),
        ("E", "ready"),
        ("C", "ready"),
    ):
        for text, expected in (
            (f"+{letter}", state),
            (letter.lower(), state),
            (f"+{letter}-{letter}", "ready"),
            (f"-{letter}", "ready"),
        ):
            made = httpd_of(f"<Proxy balancer://a>\nBalancerMember http://x/ status={text}\n</Proxy>\n")
            assert made.members[0].state == expected, text


def test_workers_through_references_macros_and_lists() -> None:
    made = meaning.of_jk(jk.read("workers.properties", WORKERS))
    assert [(one.balancer, one.url, one.state, one.weight, one.route) for one in made.members] == [
        ("lb", "ajp://10.0.0.1:8010", "ready", 3.0, "a"),
        ("lb", "ajp://10.0.0.1:8012", "gone", 3.0, "b"),
    ]
    words = said(made)
    for expected in (
        "workers.properties:11:1: worker.b.port was '8011' on line 9",
        "balances c, which is no worker",
        "references go in a circle",
        "workers.properties:19:1: no key=value: 'nonsense'",
    ):
        assert any(expected in one for one in words), (expected, words)


@given(st.text("ab<>/\\\"' \n${}=#BalancerMemberProxy:.", max_size=80))
@settings(max_examples=300, deadline=None)
def test_no_text_breaks_the_readers(text: str) -> None:
    httpd_of(text)
    meaning.of_jk(jk.read("w", text))


def test_the_commands_write_a_list_that_a_sender_reads(tmp_path: Path) -> None:
    (tmp_path / "conf.d").mkdir()
    (tmp_path / "conf.d" / "a.conf").write_text(
        "<Proxy balancer://south>\nBalancerMember http://s1/in route=s1\nBalancerMember http://s2/in route=s2\n</Proxy>\n"
    )
    (tmp_path / "httpd.conf").write_text("Include conf.d/*.conf\n")
    out = tmp_path / "endpoints.jsonl"
    done = CliRunner().invoke(
        main, ["import", "apache", str(tmp_path / "httpd.conf"), "--kind", "web", "--out", str(out), "--json"]
    )
    assert done.exit_code == 0 and json.loads(done.output)["destinations"] == ["south"]
    assert [(one.name, one.destination, one.kind) for one in lines.read(out)] == [
        ("south-s1", "south", "web"),
        ("south-s2", "south", "web"),
    ]
    (tmp_path / "w.properties").write_text(WORKERS)
    lost = CliRunner().invoke(main, ["import", "jk", str(tmp_path / "w.properties")])
    assert (
        lost.exit_code == 1 and "lost: w.properties:" in lost.output and "only http is carried" in lost.output
    )
