"""Gossip on real UDP sockets of this machine, and its part of the command line.

Each test waits for events; none waits for time to pass.
"""

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
from gossip_harness import open_transports, secret_key, wait_until, write_key
from planner_harness import CoordinatorProcess, assert_matches_trace

ROOT = Path(__file__).parent.parent


def alive_count(transport):
    """How many other members the transport's agent believes to be alive."""
    return len(transport.agent.members.in_state("alive"))


def close(group):
    """Closes all transports of the group."""
    for transport in group:
        transport.close()


def test_twenty_peers_of_which_one_forges_datagrams_and_one_claims_that_no_backend_answers(tmp_path):
    """Claims of correct members reach all other members. Forged claims, and claims that one member alone makes, count
    at no member."""

    async def scenario():
        group = await open_transports(tmp_path, 20)
        forger = group[18]
        faulty = group[19]
        await wait_until(lambda: all(alive_count(member) >= 19 for member in group))
        faulty.coordinator.planner.missing = {b: 15.0 for b in range(6)}
        forged = 0
        for victim in group[:5]:
            for name in ("n5", "n6", "n7", "n8"):
                forged += 1
                send_in_name_of(forger, name, victim, 1000 + forged)
        for member in group[:16]:
            member.coordinator.planner.missing = {2: 6.0}
        observers = group[16:18]
        await wait_until(lambda: all(member.coordinator.last_reported.get(2, 0.0) > 2.0 for member in observers))
        other_backends = {
            b for member in group[:18] for b, missing in member.coordinator.last_reported.items() if missing and b != 2
        }
        refused = sum(
            member.agent.refused[wire.Refused.SIGNATURE] + member.agent.refused[wire.Refused.STRANGER]
            for member in group[:5]
        )
        text = [
            f"backends beside 2 that a member counts: {sorted(other_backends)}",
            f"forged and refused: {refused}/{forged}",
        ]
        for member in group[:16]:
            member.coordinator.planner.missing = {}
        await wait_until(lambda: all(member.coordinator.last_reported.get(2, 0.0) < 2.0 for member in observers))
        text.append("backend 2 answers again: no longer counted")
        dead = {number for member in group for number in member.agent.members.in_state("dead")}
        text.append(f"members believed dead: {sorted(dead)}")
        close(group)
        assert_matches_trace("gossip_twenty", text)

    asyncio.run(scenario())


def send_in_name_of(forger, name, victim, counter):
    """Sends a datagram that names another sender, signed with the forger's key and from the forger's address."""
    agent = forger.agent
    statement = wire.pack_statement(
        member_number(name), agent.life, 0, 9999, False, [(backend_key(f"s-{b}", 0), 255, 0) for b in range(6)]
    )
    statement += agent.signer.sign(seal.STATEMENT, agent.roster.digest, statement)
    header = wire.Header(
        agent.roster.tag, member_number(name), victim.agent.roster.me, agent.life, counter, wire.Kind.RUMOUR, 0, 0, 0
    )
    data = wire.pack(header, (), statement)
    data += agent.signer.sign(seal.DATAGRAM, agent.roster.digest, data)
    forger.send([(victim.settings.listen, data)])


def test_a_forged_statement_in_a_valid_datagram_is_refused(tmp_path):
    async def scenario():
        group = await open_transports(tmp_path, 3)
        await wait_until(lambda: all(alive_count(member) == 2 for member in group))
        sender = group[1].agent
        victim = group[0]
        statement = wire.pack_statement(
            member_number("n2"), sender.life + 1, 0, 9, False, [(backend_key("s-1", 0), 255, 0)]
        )
        statement += sender.signer.sign(seal.STATEMENT, sender.roster.digest, statement)
        sender.counter += 1
        data = wire.pack(
            wire.Header(
                sender.roster.tag,
                sender.roster.me,
                victim.agent.roster.me,
                sender.life,
                sender.counter,
                wire.Kind.RUMOUR,
                0,
                0,
                0,
            ),
            (),
            statement,
        )
        data += sender.signer.sign(seal.DATAGRAM, sender.roster.digest, data)
        group[1].send([(victim.settings.listen, data)])
        await wait_until(lambda: victim.agent.refused["statement"] == 1)
        latest = victim.agent.claims.latest.get(member_number("n2"))
        assert latest is None or not latest.statement.entries
        close(group)

    asyncio.run(scenario())


def test_a_flood_from_unknown_addresses_does_not_affect_the_group(tmp_path):
    """Sends datagrams that are too long, empty, unsigned, copied from a member or changed, all from an address that is
    not in the roster, as fast as one socket can."""

    async def scenario():
        group = await open_transports(tmp_path, 3)
        await wait_until(lambda: all(alive_count(member) == 2 for member in group))
        victim = group[0]
        captured = []
        captured = group[1].agent.send(
            group[1].coordinator.clock.now(), group[1].agent.rumour_bucket, victim.agent.roster.me, wire.Kind.RUMOUR
        )[0][1]
        unknown_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        received_before = victim.agent.counts["received"]
        sent = 0
        for _ in range(200):
            for data in (b"x" * 257, b"", b"\xc1\x01" + b"\0" * 200, captured, captured[:-1] + b"\0"):
                unknown_socket.sendto(data, victim.settings.listen)
                sent += 1
            await asyncio.sleep(0)
        unknown_socket.close()
        await wait_until(lambda: victim.agent.refused[wire.Refused.STRANGER] >= 100)
        refused = victim.agent.refused
        assert refused[wire.Refused.LENGTH] >= 100 and refused[wire.Refused.SIGNATURE] == 0
        # Up to 200 datagrams may come from the other members meanwhile.
        assert victim.agent.counts["received"] - received_before <= sent + 200
        assert all(alive_count(member) == 2 for member in group)
        victim.coordinator.planner.missing = {1: 5.0}
        await wait_until(
            lambda: all(
                backend_key("s-1", 0)
                in {key for key, *_ in member.agent.claims.latest[member_number("n0")].statement.entries}
                for member in group[1:]
            )
        )
        close(group)

    asyncio.run(scenario())


def test_a_key_and_the_roster_are_replaced_in_service(tmp_path):
    async def scenario():
        group = await open_transports(tmp_path, 4)
        await wait_until(lambda: all(alive_count(transport) == 3 for transport in group))
        new_signer = Signer(secret_key("fresh"))

        def change_member(change):
            for transport in group:
                transport.reload(
                    replace(
                        transport.settings,
                        members=tuple(
                            change(member) if member.name == "n1" else member for member in transport.settings.members
                        ),
                    )
                )

        # All members list both keys of n1, then n1 signs with the new one, then the old one is removed.
        change_member(lambda member: replace(member, keys=(*member.keys, new_signer.public)))
        write_key(tmp_path / "n1.key", secret_key("fresh"))
        group[1].reload(group[1].settings)
        change_member(lambda member: replace(member, keys=member.keys[1:]))
        highest_before = group[0].agent.verifier.windows[member_number("n1")].highest
        await wait_until(lambda: group[0].agent.verifier.windows[member_number("n1")].highest > highest_before + 2)
        assert all(alive_count(transport) == 3 for transport in group)
        # A member leaves and is removed from the roster of the others.
        group[3].close()
        for transport in group[:3]:
            transport.reload(replace(transport.settings, members=transport.settings.members[:3]))
        assert all(len(transport.agent.members.records) == 2 for transport in group[:3])
        close(group)

    asyncio.run(scenario())


# The daemon and the command line


def write_operator_file(folder, ports, me, count=3, extra=""):
    """Writes the operator's file of the member `me` of a group of `count`, with `extra` as one more line of the section
    `gossip`. Returns its path."""
    member_lines = [
        f'member "n{i}" at="127.0.0.1:{ports[i]}" key="{keys.encode(Signer(secret_key(f"n{i}")).public)}"'
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
                *member_lines,
                "}",
            ]
        )
        + "\n"
    )
    return path


def free_ports(count):
    """Numbers of UDP ports that are free at the moment."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind(("127.0.0.1", 0))
    found = [udp_socket.getsockname()[1] for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return found


def command(*words):
    """Runs the command line. Returns its exit code, standard output and standard error."""
    finished = subprocess.run(
        [sys.executable, "-m", "cranecleat", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    return finished.returncode, finished.stdout, finished.stderr


def test_two_daemons_find_each_other_and_one_reloads_its_roster_on_sighup(tmp_path, monkeypatch):
    ports = free_ports(3)
    text = []
    for name in ("n0", "n1"):
        write_key(tmp_path / f"{name}.key", secret_key(name))
        (tmp_path / name).mkdir()
    services = []
    try:
        for name in ("n0", "n1"):
            monkeypatch.setenv("CRANECLEAT_OPERATOR", str(write_operator_file(tmp_path, ports, name)))
            service = CoordinatorProcess(tmp_path / name, name=name).start()
            services.append(service)
            text.append(re.sub(r" life=\d+", "", service.wait_for_log("gossip_open")))
        for service, other in zip(services, ("n1", "n0"), strict=True):
            text.append(service.wait_for_log(f"gossip_member.*who={other}"))
        write_operator_file(tmp_path, ports, "n0", extra='rate "lots"')
        services[0].process.send_signal(signal.SIGHUP)
        text.append(services[0].wait_for_log("reload_failed"))
        write_operator_file(tmp_path, ports, "n0", count=2, extra='rate "9KiB"')
        services[0].process.send_signal(signal.SIGHUP)
        text.append(services[0].wait_for_log("gossip_reloaded"))
        services[1].process.send_signal(signal.SIGTERM)
        text.append(services[0].wait_for_log("gossip_member.*who=n1"))
        for _ in range(100):  # the status file is written once a second
            code, output, _ = command("gossip", "status", str(tmp_path / "n0.json"))
            if re.search(r"^n1 +left ", output, re.MULTILINE):
                break
        text += [f"status: {code}"] + [
            re.sub(r" +", " ", re.sub(r"\b\d+\b", "N", line)) for line in output.split("\n")[:4]
        ]
    finally:
        for service in services:
            service.__exit__()
    assert_matches_trace(
        "gossip_daemons", [re.sub(r"127.0.0.1:\d+", "HERE", re.sub(r"/\S*/", "", line)) for line in text]
    )


def test_mistakes_in_an_operators_file_are_reported_with_position_and_hint(tmp_path):
    valid = write_operator_file(tmp_path, [7001, 7002, 7003], "n0").read_text()
    text = []
    path = tmp_path / "n0.kdl"
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
        path.write_text(valid.replace(old, new, 1) if old else valid)
        code, output, errors = command("check", str(path), "--name", "n0")
        text += [
            f"# {old!r} -> {new!r}: {code}",
            *(output + errors).replace(str(tmp_path) + "/", "").strip().split("\n"),
        ]
    text += ["# no file", command("check", str(tmp_path / "none.kdl"))[2].replace(str(tmp_path) + "/", "").strip()]
    assert_matches_trace("operator_mistakes", [re.sub(r"'[A-Za-z0-9+/!]{40,}=*'", "'...'", line) for line in text])


def test_keys_are_created_shown_compared_with_a_roster_and_never_overwritten(tmp_path):
    key = tmp_path / "a.key"
    text = []
    code, new_output, _ = command("keys", "new", str(key))
    assert code == 0 and key.stat().st_mode & 0o777 == 0o600 and command("keys", "show", str(key))[1] == new_output
    path = write_operator_file(tmp_path, [7001, 7002, 7003], "n0")
    write_key(tmp_path / "n0.key", secret_key("n0"))
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


def test_the_example_file_is_valid_and_a_daemon_without_one_does_not_import_its_modules():
    assert read_operator_file(ROOT / "deploy" / "operator.kdl", "n0").gossip.group == "example"
    code = (
        "import sys; import cranecleat.service.run; "
        "bad = [m for m in sys.modules if m.split('.')[0] in ('cryptography', 'kdl', 'typer', 'numpy')"
        " or 'gossip' in m or 'operator.' in m and 'cranecleat' in m]; print(bad); sys.exit(bool(bad))"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        timeout=60,
    )
    assert finished.returncode == 0, finished.stdout
