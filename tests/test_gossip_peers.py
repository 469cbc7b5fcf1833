"""Twenty members on real UDP sockets of this machine; each test waits for events, none for time to pass."""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

from cranecleat.gossip import keys, seal, wire
from cranecleat.gossip.bridge import backend_key
from cranecleat.gossip.roster import member_number
from cranecleat.gossip.seal import Signer
from cranecleat.operator.file import read_operator_file
from gossip_harness import couriers, secret, until, write_key
from planner_harness import CoordinatorProcess, assert_matches_trace

ROOT = Path(__file__).parent.parent


def alive(courier):
    return len(courier.agent.members.of("alive"))


def close(group):
    for courier in group:
        courier.close()


def test_twenty_peers_one_forging_and_one_reporting_every_backend_dead(tmp_path):
    """What is really missed is heard by all; what is forged or made up is not counted anywhere."""

    async def play():
        group = await couriers(tmp_path, 20)
        forger, liar = group[18], group[19]
        await until(lambda: all(alive(one) >= 19 for one in group))
        liar.coordinator.planner.missing = {b: 15.0 for b in range(6)}
        forged = 0
        for victim in group[:5]:
            for name in ("n5", "n6", "n7", "n8"):
                forged += 1
                as_other(forger, name, victim, 1000 + forged)
        for one in group[:16]:
            one.coordinator.planner.missing = {2: 6.0}
        honest = group[16:18]
        await until(lambda: all(one.coordinator.doubts.get(2, 0.0) > 2.0 for one in honest))
        others = {b for one in group[:18] for b, missing in one.coordinator.doubts.items() if missing and b != 2}
        refused = sum(
            one.agent.refused[wire.Refused.SIGNATURE] + one.agent.refused[wire.Refused.STRANGER] for one in group[:5]
        )
        text = [f"backends that anybody counts beside 2: {sorted(others)}", f"forged and refused: {refused}/{forged}"]
        for one in group[:16]:
            one.coordinator.planner.missing = {}
        await until(lambda: all(one.coordinator.doubts.get(2, 0.0) < 2.0 for one in honest))
        text.append("it answers again: no longer counted")
        text.append(f"anybody dead: {sorted({who for one in group for who in one.agent.members.of('dead')})}")
        close(group)
        assert_matches_trace("gossip_twenty", text)

    asyncio.run(play())


def as_other(forger, name, victim, counter):
    """A datagram in another's name: signed with the forger's key, and sent from the forger's address."""
    agent = forger.agent
    claim = wire.pack_statement(
        member_number(name), agent.life, 0, 9999, False, [(backend_key(f"s-{b}", 0), 255, 0) for b in range(6)]
    )
    claim += agent.signer.sign(seal.STATEMENT, agent.roster.digest, claim)
    head = wire.Header(
        agent.roster.tag, member_number(name), victim.agent.roster.me, agent.life, counter, wire.Kind.RUMOUR, 0, 0, 0
    )
    data = wire.pack(head, (), claim)
    data += agent.signer.sign(seal.DATAGRAM, agent.roster.digest, data)
    forger.send([(victim.section.listen, data)])


def test_a_forged_statement_carried_by_a_member_itself_is_refused(tmp_path):
    async def play():
        group = await couriers(tmp_path, 3)
        await until(lambda: all(alive(one) == 2 for one in group))
        bearer, victim = group[1].agent, group[0]
        claim = wire.pack_statement(
            member_number("n2"), bearer.life + 1, 0, 9, False, [(backend_key("s-1", 0), 255, 0)]
        )
        claim += bearer.signer.sign(seal.STATEMENT, bearer.roster.digest, claim)
        bearer.counter += 1
        data = wire.pack(
            wire.Header(
                bearer.roster.tag,
                bearer.roster.me,
                victim.agent.roster.me,
                bearer.life,
                bearer.counter,
                wire.Kind.RUMOUR,
                0,
                0,
                0,
            ),
            (),
            claim,
        )
        data += bearer.signer.sign(seal.DATAGRAM, bearer.roster.digest, data)
        group[1].send([(victim.section.listen, data)])
        await until(lambda: victim.agent.refused["statement"] == 1)
        held = victim.agent.claims.latest.get(member_number("n2"))
        assert held is None or not held.statement.entries
        close(group)

    asyncio.run(play())


def test_a_flood_of_strangers_leaves_the_group_as_it_is(tmp_path):
    """Datagrams of 257 bytes, unsigned ones and copies from a strange address, as fast as one socket sends."""

    async def play():
        group = await couriers(tmp_path, 3)
        await until(lambda: all(alive(one) == 2 for one in group))
        victim, taken = group[0], []
        taken = group[1].agent.send(
            group[1].coordinator.clock.now(), group[1].agent.rumour_bucket, victim.agent.roster.me, wire.Kind.RUMOUR
        )[0][1]
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        before, sent = victim.agent.counts["received"], 0
        for _ in range(200):
            for data in (b"x" * 257, b"", b"\xc1\x01" + b"\0" * 200, taken, taken[:-1] + b"\0"):
                stranger.sendto(data, victim.section.listen)
                sent += 1
            await asyncio.sleep(0)
        stranger.close()
        await until(lambda: victim.agent.refused[wire.Refused.STRANGER] >= 100)
        refused = victim.agent.refused
        assert refused[wire.Refused.LENGTH] >= 100 and refused[wire.Refused.SIGNATURE] == 0
        assert victim.agent.counts["received"] - before <= sent + 200
        assert all(alive(one) == 2 for one in group)
        victim.coordinator.planner.missing = {1: 5.0}
        await until(
            lambda: all(
                backend_key("s-1", 0) in {k for k, *_ in one.agent.claims.latest[member_number("n0")].statement.entries}
                for one in group[1:]
            )
        )
        close(group)

    asyncio.run(play())


def test_a_key_and_the_roster_change_in_service(tmp_path):
    async def play():
        group = await couriers(tmp_path, 4)
        await until(lambda: all(alive(one) == 3 for one in group))
        fresh = Signer(secret("fresh"))

        def change(member_change):
            for one in group:
                one.reload(
                    replace(
                        one.section,
                        members=tuple(member_change(m) if m.name == "n1" else m for m in one.section.members),
                    )
                )

        change(lambda m: replace(m, keys=(*m.keys, fresh.public)))
        write_key(tmp_path / "n1.key", secret("fresh"))
        group[1].reload(group[1].section)
        change(lambda m: replace(m, keys=m.keys[1:]))
        spoken = group[0].agent.door.windows[member_number("n1")].top
        await until(lambda: group[0].agent.door.windows[member_number("n1")].top > spoken + 2)
        assert all(alive(one) == 3 for one in group)
        group[3].close()
        for one in group[:3]:
            one.reload(replace(one.section, members=one.section.members[:3]))
        assert all(len(one.agent.members.standing) == 2 for one in group[:3])
        close(group)

    asyncio.run(play())


# The daemon and the command line


def operators_file(folder, ports, me, count=3, extra=""):
    lines = [
        f'member "n{i}" at="127.0.0.1:{ports[i]}" key="{keys.encode(Signer(secret(f"n{i}")).public)}"'
        for i in range(count)
    ]
    path = folder / f"{me}.kdl"
    path.write_text(
        "\n".join(
            [
                "gossip {",
                'group "test"',
                f'listen "127.0.0.1:{ports[int(me[1:])]}"',
                f'key "{me}.key"',
                f'status "{me}.json"',
                extra,
                *lines,
                "}",
            ]
        )
        + "\n"
    )
    return path


def ports(count):
    open_ones = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for one in open_ones:
        one.bind(("127.0.0.1", 0))
    found = [one.getsockname()[1] for one in open_ones]
    for one in open_ones:
        one.close()
    return found


def command(*words):
    done = subprocess.run(
        [sys.executable, "-m", "cranecleat", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    return done.returncode, done.stdout, done.stderr


def test_two_daemons_know_each_other_and_one_changes_its_roster_on_sighup(tmp_path, monkeypatch):
    where, text = ports(3), []
    for name in ("n0", "n1"):
        write_key(tmp_path / f"{name}.key", secret(name))
        (tmp_path / name).mkdir()
    services = []
    try:
        for name in ("n0", "n1"):
            monkeypatch.setenv("CRANECLEAT_OPERATOR", str(operators_file(tmp_path, where, name)))
            service = CoordinatorProcess(tmp_path / name, name=name).start()
            services.append(service)
            text.append(re.sub(r" life=\d+", "", service.wait_for_log("gossip_open")))
        for service, other in zip(services, ("n1", "n0"), strict=True):
            text.append(service.wait_for_log(f"gossip_member.*who={other}"))
        operators_file(tmp_path, where, "n0", extra='rate "lots"')
        services[0].process.send_signal(signal.SIGHUP)
        text.append(services[0].wait_for_log("reload_failed"))
        operators_file(tmp_path, where, "n0", count=2, extra='rate "9KiB"')
        services[0].process.send_signal(signal.SIGHUP)
        text.append(services[0].wait_for_log("gossip_reloaded"))
        services[1].process.send_signal(signal.SIGTERM)
        text.append(services[0].wait_for_log("gossip_member.*who=n1"))
        for _ in range(100):
            code, out, _ = command("gossip", "status", str(tmp_path / "n0.json"))
            if re.search(r"^n1 +left ", out, re.MULTILINE):
                break
        text += [f"status: {code}"] + [
            re.sub(r" +", " ", re.sub(r"\b\d+\b", "N", line)) for line in out.split("\n")[:4]
        ]
    finally:
        for service in services:
            service.__exit__()
    assert_matches_trace(
        "gossip_daemons", [re.sub(r"127.0.0.1:\d+", "HERE", re.sub(r"/\S*/", "", line)) for line in text]
    )


def test_an_operators_file_with_mistakes_says_where_and_what_instead(tmp_path):
    good = operators_file(tmp_path, [7001, 7002, 7003], "n0").read_text()
    text, path = [], tmp_path / "n0.kdl"
    for old, new in (
        ("", ""),
        ("gossip {", "gosip {"),
        ('group "test"', "group 5"),
        ('listen "127', 'listen "x 127'),
        ('7001"\nkey', '99999"\nkey'),
        ('key "n0.key"', 'kei "n0.key"'),
        ('status "n0.json"', "rate 6144"),
        ('status "n0.json"', 'rate "1MB"'),
        ('status "n0.json"', 'rate "1B"'),
        ('status "n0.json"', 'group "b"'),
        ('key="', 'key="!'),
        ('key="', 'kez="'),
        ('member "n1"', 'member "n0"'),
        ("7002", "7001"),
        ("}", ""),
        ('member "n0"', 'member "n9"'),
        ('"test"', '"test'),
    ):
        path.write_text(good.replace(old, new, 1) if old else good)
        code, out, errors = command("check", str(path), "--name", "n0")
        text += [f"# {old!r} -> {new!r}: {code}", *(out + errors).replace(str(tmp_path) + "/", "").strip().split("\n")]
    text += ["# no file", command("check", str(tmp_path / "none.kdl"))[2].replace(str(tmp_path) + "/", "").strip()]
    assert_matches_trace("operator_mistakes", [re.sub(r"'[A-Za-z0-9+/!]{40,}=*'", "'...'", line) for line in text])


def test_keys_are_made_shown_held_against_a_roster_and_never_overwritten(tmp_path):
    key, text = tmp_path / "a.key", []
    code, made, _ = command("keys", "new", str(key))
    assert code == 0 and key.stat().st_mode & 0o777 == 0o600 and command("keys", "show", str(key))[1] == made
    path = operators_file(tmp_path, [7001, 7002, 7003], "n0")
    write_key(tmp_path / "n0.key", secret("n0"))
    text += command("keys", "roster", str(path), "--key", str(tmp_path / "n0.key"))[1].rstrip().split("\n")
    key.chmod(0o644)
    for words in (
        ("keys", "new", str(key)),
        ("keys", "show", str(key)),
        ("keys", "show", str(path)),
        ("keys", "show", str(tmp_path / "none")),
        ("gossip", "status", str(path)),
    ):
        code, _, errors = command(*words)
        text.append(f"{' '.join(words[:2])}: {code} {errors.strip()}")
    assert_matches_trace("gossip_keys", [line.replace(str(tmp_path) + "/", "") for line in text])


def test_the_example_file_is_right_and_the_daemon_without_one_imports_nothing_of_it():
    assert read_operator_file(ROOT / "deploy" / "operator.kdl", "n0").gossip.group == "example"
    code = (
        "import sys; import cranecleat.service.run; "
        "bad = [m for m in sys.modules if m.split('.')[0] in ('cryptography', 'kdl', 'typer', 'numpy')"
        " or 'gossip' in m or 'operator.' in m and 'cranecleat' in m]; print(bad); sys.exit(bool(bad))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        timeout=60,
    )
    assert done.returncode == 0, done.stdout
