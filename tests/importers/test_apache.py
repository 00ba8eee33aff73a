"""Conversion of httpd balancers and mod_jk workers into endpoints, and the position of every problem."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.cli.main import main
from brassweir.config import lines
from brassweir.importers.apache import conversion, httpd, jk
from brassweir.importers.apache.conversion import Conversion

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


def convert_httpd(
    text: str, files: dict[str, str] | None = None, defined: set[str] | None = None
) -> Conversion:
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
    result = conversion.from_httpd(reader.read("httpd.conf", text))
    result.problems = reader.problems + result.problems
    return result


def problem_texts(result: Conversion) -> list[str]:
    return [str(problem) for problem in result.problems]


def test_members_through_macros_definitions_and_continuations() -> None:
    text = MAIN.replace("Use member $H n1 8080", "Use member n1 8080")
    result = convert_httpd(text)
    assert [
        (member.balancer, member.url, member.route, member.state, member.weight) for member in result.members
    ] == [
        ("north", "http://n1:8080/in", "n1", "ready", 1.0),
        ("north", "http://n2:8080/in", "n2", "ready", 2.0),
        ("north", "http://n3:8080/in", "", "gone", 1.0),
    ]
    assert not result.members[1].standby, "+H-H is set and cleared again"
    assert (
        result.members[0].place.line == 10
        and result.members[0].place.via == "macro member used at httpd.conf:13"
    )
    assert result.members[1].place.line == 14
    problems = problem_texts(result)
    assert any(problem.startswith("httpd.conf:7:1: no file 'none.conf'") for problem in problems)
    assert any("weights differ (1, 2)" in problem for problem in problems) and any(
        "stickysession=ID is not carried" in problem for problem in problems
    )
    assert [problem.lost for problem in result.problems if "lbmethod" in problem.message] == [False]


def test_includes_scopes_case_and_reported_problems() -> None:
    result = convert_httpd(MAIN, {"conf.d/a.conf": INCLUDED}, {"EDGE"})
    south = [member for member in result.members if member.balancer == "south"]
    assert [(member.url, member.state, member.tier) for member in south] == [
        ("http://s1/", "draining", 0),
        ("http://s2", "ready", 1),
        ("ajp://s3:8009", "ready", 0),
    ]
    entries = {str(entry["name"]): entry for entry in conversion.entries(result, "agency")}
    assert entries["south-2"]["state"] == "draining" and entries["south-2"]["url"] == "http://s2/"
    assert "south-3" not in entries, "ajp is not carried"
    problems = problem_texts(result)
    for expected in (
        "conf.d/a.conf:4:1: http://S1 stands twice in south: also at conf.d/a.conf:3",
        "retry=5 is not carried",
        "secret=... is not carried",
        "colour=red is not known",
        "hcmethod: health checks",
        "only http is carried, and this is ajp",
        "macro member has 2 arguments, 3 are given",
    ):
        assert any(expected in problem for problem in problems), (expected, problems)
    assert "x" not in " ".join(problem for problem in problems if "secret" in problem).replace(
        "secret", ""
    ), "secrets are not repeated"


@pytest.mark.parametrize(
    ("text", "expected"),
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
def test_errors_are_reported_and_later_lines_are_read(text: str, expected: str) -> None:
    result = convert_httpd(text + "<Proxy balancer://good>\nBalancerMember http://fine/\n</Proxy>\n")
    assert any(expected in problem for problem in problem_texts(result)), problem_texts(result)
    if "never closed" not in expected:
        assert any(member.url == "http://fine/" for member in result.members)


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
            result = convert_httpd(
                f"<Proxy balancer://a>\nBalancerMember http://x/ status={text}\n</Proxy>\n"
            )
            assert result.members[0].state == expected, text


def test_workers_through_references_macros_and_lists() -> None:
    result = conversion.from_jk(jk.read("workers.properties", WORKERS))
    assert [
        (member.balancer, member.url, member.state, member.weight, member.route) for member in result.members
    ] == [
        ("lb", "ajp://10.0.0.1:8010", "ready", 3.0, "a"),
        ("lb", "ajp://10.0.0.1:8012", "gone", 3.0, "b"),
    ]
    problems = problem_texts(result)
    for expected in (
        "workers.properties:11:1: worker.b.port was '8011' on line 9",
        "balances c, which is no worker",
        "references go in a circle",
        "workers.properties:19:1: no key=value: 'nonsense'",
    ):
        assert any(expected in problem for problem in problems), (expected, problems)


@given(st.text("ab<>/\\\"' \n${}=#BalancerMemberProxy:.", max_size=80))
@settings(max_examples=300, deadline=None)
def test_arbitrary_text_raises_nothing(text: str) -> None:
    convert_httpd(text)
    conversion.from_jk(jk.read("w", text))


def test_commands_write_a_readable_endpoint_list(tmp_path: Path) -> None:
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
    assert [(entry.name, entry.destination, entry.kind) for entry in lines.read(out)] == [
        ("south-s1", "south", "web"),
        ("south-s2", "south", "web"),
    ]
    (tmp_path / "w.properties").write_text(WORKERS)
    lost = CliRunner().invoke(main, ["import", "jk", str(tmp_path / "w.properties")])
    assert (
        lost.exit_code == 1 and "lost: w.properties:" in lost.output and "only http is carried" in lost.output
    )
