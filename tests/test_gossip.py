"""Gossip without sockets: the format, signatures, merging, membership, and the effect of peers on the planner."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecleat.gossip import claims, seal, wire
from cranecleat.gossip.agent import Agent
from cranecleat.gossip.bridge import Bridge, backend_key
from cranecleat.gossip.claims import Claims
from cranecleat.gossip.members import Members
from cranecleat.gossip.pace import TokenBucket
from cranecleat.gossip.roster import Member, Roster, RosterError, member_number
from cranecleat.gossip.seal import DatagramVerifier, ReplayWindow, SignatureChecker, Signer
from cranecleat.gossip.wire import DatagramError, Refused
from cranecleat.rehearsal.network import HashSigner
from gossip_harness import EPOCH, SECOND, SimulatedGroup, member_names, secret_key
from planner_harness import PlannerHarness, assert_matches_trace

KEY = backend_key("s-1", 0)


def roster(me="n0", count=3, keys=1):
    """A roster of `count` members with real keys, `keys` of them for each member, as the member `me` has it."""
    return Roster(
        "test",
        me,
        [
            Member(name, (name, 1), tuple(Signer(secret_key(f"{name}{k or ''}")).public for k in range(keys)))
            for name in member_names(count)
        ],
    )


def agent(me="n0", count=3, life=EPOCH):
    return Agent(roster(me, count), Signer(secret_key(me)), me, life, 0)


def datagram(sender="n1", count=3, life=EPOCH, missing_answers=None):
    """The bytes of a signed rumour from a member to n0, with claims about `missing_answers` if there are any."""
    origin = agent(sender, count, life)
    if missing_answers:
        origin.observe(SECOND, missing_answers)
    return origin.send(SECOND, origin.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]


# The format


def test_no_datagram_is_longer_than_256_bytes_and_a_full_one_is_read():
    claims_of_40 = {backend_key(f"s-{i}", 0): 20.0 for i in range(40)}
    sender = agent("n1")
    sender.observe(SECOND, claims_of_40)
    suspects = [(member_number("n2"), EPOCH, i) for i in range(30)]
    datagrams = sender.send(
        SECOND, sender.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR, first_suspicions=suspects
    )
    data = datagrams[0][1]
    header = wire.read_header(data)
    suspicions, statement = wire.read_body(data, header)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES and len(statement.entries) == wire.MAX_ENTRIES and len(suspicions) == 1
    with pytest.raises(DatagramError, match="length"):
        wire.read_header(data.ljust(257, b"\0"))


def test_a_datagram_cut_anywhere_or_with_any_bit_flipped_is_refused_and_changes_nothing():
    data = datagram(missing_answers={KEY: 5.0})
    refused = {}
    victim = agent("n0")
    # Without the limit on verifications, which would refuse some datagrams before their signature is checked.
    victim.verifier.total_budget.rate = victim.verifier.total_budget.burst = victim.verifier.total_budget.tokens = 1e9
    changed = [data[:cut] for cut in range(len(data))]
    changed += [data[: i // 8] + bytes([data[i // 8] ^ 1 << i % 8]) + data[i // 8 + 1 :] for i in range(8 * len(data))]
    for n, changed_data in enumerate(changed):
        refused_before = victim.refused.total()
        answers = victim.received(SECOND + n * SECOND, EPOCH, changed_data, ("n1", 1))
        assert victim.refused.total() == refused_before + 1 and not answers
        refused.update(victim.refused)
    assert victim.pooled(SECOND) == {} and set(victim.claims.latest) == {member_number("n0")}
    assert {"length", "format", "group", "stranger", "receiver", "signature"} <= {reason.value for reason in refused}
    victim.received(10**10, EPOCH, data, ("n1", 1))  # the same datagram unchanged is accepted
    assert member_number("n1") in victim.claims.latest


@given(st.binary(max_size=300))
def test_no_bytes_make_the_parser_raise_another_error(data):
    try:
        header = wire.read_header(data)
        wire.read_body(data, header)
    except DatagramError:
        pass


# Signatures


def test_a_datagram_signed_in_the_name_of_another_member_is_refused():
    forger = Signer(secret_key("n2"))
    header = wire.Header(roster().tag, member_number("n1"), 0, EPOCH, 1, wire.Kind.RUMOUR, 0, 0, 0)
    data = wire.pack(header, (), None)
    data += forger.sign(seal.DATAGRAM, roster().digest, data)
    victim = agent("n0")
    victim.received(0, EPOCH, data, ("n1", 1))
    assert victim.refused == {Refused.SIGNATURE: 1}


def test_a_statement_changed_in_transit_is_refused_and_its_sender_still_counts_as_alive():
    origin = agent("n2")
    raw = bytearray(origin.claims.latest[member_number("n2")].statement.raw)
    raw[5] ^= 1  # the lowest bit of the life
    sender = agent("n1")
    header = wire.Header(sender.roster.tag, member_number("n1"), 0, EPOCH, 1, wire.Kind.RUMOUR, 0, 0, 0)
    data = wire.pack(header, (), bytes(raw))
    data += sender.signer.sign(seal.DATAGRAM, sender.roster.digest, data)
    victim = agent("n0")
    victim.received(0, EPOCH, data, ("n1", 1))
    assert victim.refused == {"statement": 1} and member_number("n2") not in victim.claims.latest
    assert victim.members.records[member_number("n1")].state == "alive"


def test_datagrams_of_another_group_with_the_same_keys_are_refused():
    other = Agent(Roster("other", "n1", roster().members.values()), Signer(secret_key("n1")), "n1", EPOCH, 0)
    data = other.send(0, other.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
    victim = agent("n0")
    victim.received(0, EPOCH, data, ("n1", 1))
    victim.received(0, EPOCH, data[:2] + victim.roster.tag + data[6:], ("n1", 1))
    assert victim.refused == {Refused.GROUP: 1, Refused.SIGNATURE: 1}


@given(st.lists(st.integers(0, 600), max_size=120))
def test_each_counter_is_accepted_once(counters):
    window = ReplayWindow()
    used = set()
    highest = -1
    for counter in counters:
        is_fresh = window.is_fresh(1, counter)
        assert is_fresh == (counter not in used and counter > highest - seal.REPLAY_WINDOW_COUNTERS)
        if is_fresh:
            window.mark_used(1, counter)
            used.add(counter)
            highest = max(highest, counter)


def test_replayed_datagrams_and_those_of_an_earlier_life_are_refused():
    old = datagram(life=EPOCH - 50, missing_answers={KEY: 9.0})
    victim = agent("n0")
    recent = datagram(life=EPOCH, missing_answers={KEY: 9.0})
    victim.received(SECOND, EPOCH, recent, ("n1", 1))
    statement_before = victim.claims.latest[member_number("n1")].statement
    for data in (recent, recent, old):
        victim.received(2 * SECOND, EPOCH, data, ("n1", 1))
    assert victim.refused == {Refused.REPLAYED: 2, Refused.OLD_LIFE: 1}
    assert victim.claims.latest[member_number("n1")].statement is statement_before


def test_a_member_whose_clock_was_set_back_learns_its_last_life_and_is_accepted_again():
    group = SimulatedGroup(3)
    group.run(8)
    group.start("n1", life=EPOCH - 86_400 * 30)
    group.run(8)
    assert group.agents["n1"].life == EPOCH + 1
    assert group.count_states("n0") == group.count_states("n2") == {"alive": 2}


def test_a_life_far_ahead_is_refused_and_does_not_block_the_name():
    victim = agent("n0")
    victim.received(SECOND, EPOCH, datagram(life=EPOCH + 400 * 86_400), ("n1", 1))
    assert victim.refused == {Refused.AHEAD: 1}
    victim.received(SECOND, EPOCH, datagram(), ("n1", 1))
    assert victim.members.records[member_number("n1")].state == "alive"


def test_the_clock_of_a_peer_does_not_change_the_age_of_its_claims():
    for skew in (-30, 0, 30):
        origin = agent("n1", life=EPOCH + skew)
        victim = agent("n0")
        origin.observe((1000 + skew) * SECOND, {KEY: 6.0})
        data = origin.send((1000 + skew) * SECOND, origin.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
        victim.received(1000 * SECOND, EPOCH, data, ("n1", 1))
        statement = victim.claims.latest[member_number("n1")].statement
        assert victim.claims.age(statement, 1000 * SECOND) == 0
        assert victim.claims.age(statement, 1007 * SECOND) == 7 * SECOND


def test_a_key_is_replaced_in_service_while_datagrams_with_the_old_one_are_in_transit():
    both_keys = roster(keys=2)
    victim = agent("n0")
    sender_roster = roster("n1", keys=2)
    sender = Agent(sender_roster, Signer(secret_key("n1")), "n1", EPOCH, 0)
    with_old_key = [
        sender.send(SECOND, sender.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1] for _ in range(3)
    ]
    victim.update_roster(both_keys, Signer(secret_key("n0")), 0)
    sender.update_roster(sender_roster, Signer(secret_key("n11")), SECOND)
    with_new_key = [
        sender.send(SECOND, sender.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1] for _ in range(3)
    ]
    for data in (with_old_key[0], with_new_key[0], with_old_key[1], with_new_key[1]):
        victim.received(2 * SECOND, EPOCH, data, ("n1", 1))
    assert not victim.refused
    new_key_only = Roster(
        "test", "n0", [replace(m, keys=m.keys[1:]) if m.name == "n1" else m for m in both_keys.members.values()]
    )
    victim.update_roster(new_key_only, Signer(secret_key("n0")), 0)
    for data in (with_old_key[2], with_new_key[2]):
        victim.received(2 * SECOND, EPOCH, data, ("n1", 1))
    assert victim.refused == {Refused.SIGNATURE: 1}


def test_a_flood_costs_a_bounded_number_of_verifications_and_nothing_of_it_is_kept():
    class CountingChecker(SignatureChecker):
        checks = 0

        def is_valid(self, *values):
            CountingChecker.checks += 1
            return False

    verifier = DatagramVerifier(roster(), CountingChecker(roster()), 0)
    valid = datagram()
    for n in range(100_000):  # five seconds of 20,000 a second
        now, address = n * 50, ("n1", 1) if n % 2 else ("elsewhere", n % 60000)
        with pytest.raises(DatagramError):
            header = wire.read_header(valid)
            verifier.check_header(header, address, EPOCH)
            verifier.verify_datagram(header, valid, now)
    assert CountingChecker.checks <= seal.VERIFICATION_BURST + 5 * seal.VERIFICATIONS_PER_SECOND
    assert len(verifier.windows) == 0 and len(verifier.budgets) == 1


def test_rosters_that_cannot_be_used_say_why():
    member = roster().members[member_number("n1")]
    for members, message in (
        ([member], "no member 'n0'"),
        ([member, member], "is listed twice"),
        ([replace(member, keys=())], "keys"),
        ([member, replace(member, name="n2")], "address"),
    ):
        with pytest.raises(RosterError, match=message):
            Roster("test", "n0", members)


# Merging


def statement(origin, life, version, entries):
    """A statement without a signature; `entries`: pairs of backend and sixteenths of missing answers."""
    return wire.Statement(
        origin, life, 0, version, False, tuple((backend_key(str(k), 0), m, 0) for k, m in entries), b""
    )


statements = st.builds(
    statement,
    st.integers(1, 5),
    st.integers(1, 3),
    st.integers(1, 6),
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 255)), max_size=4, unique_by=lambda entry: entry[0]),
)


@settings(max_examples=300)
@given(st.lists(statements, max_size=14, unique_by=lambda s: (s.origin, s.order)), st.randoms(), st.integers(0, 13))
def test_merging_is_commutative_associative_and_idempotent(received, random_order, cut):
    def state(order):
        """The statement kept of each origin after a merge in this order."""
        merged = Claims(0)
        for statement in order:
            merged.merge(statement, 10 * SECOND)
        return {origin: latest.statement for origin, latest in merged.latest.items()}

    shuffled = received + received[:cut]
    random_order.shuffle(shuffled)
    left, right = state(received[:cut]), state(received[cut:])
    assert state(received) == state(shuffled) == state([*right.values(), *left.values()])


@given(
    st.lists(st.lists(st.floats(1, 15.9), min_size=1, max_size=1), min_size=1, max_size=12),
    st.integers(1, 4),
    st.integers(0, 4),
)
def test_the_tolerated_number_of_faulty_members_cannot_raise_a_claim_above_those_of_the_rest(
    correct, max_faulty, faulty
):
    """With up to `max_faulty` faulty members, at most the sum of the correct members' claims counts."""
    merged = Claims(0)
    faulty = min(faulty, max_faulty)
    claimed = [[(1, round(missing[0] * wire.PARTS_PER_ANSWER) % 256)] for missing in correct] + [[(1, 255)]] * faulty
    for origin, entries in enumerate(claimed, 1):
        merged.merge(statement(origin, 1, 1, entries), 0)
    pooled = merged.pooled(0, range(1, len(claimed) + 1), max_faulty).get(backend_key("1", 0), 0.0)
    assert (
        pooled
        <= sum(
            min(entries[0][1] / wire.PARTS_PER_ANSWER, claims.MAX_MISSING_PER_MEMBER)
            for entries in claimed[: len(correct)]
        )
        + 1e-9
    )


def test_claims_decay_end_and_are_withdrawn():
    first = agent("n1", 4)
    second = agent("n2", 4)
    victim = agent("n0", 4)
    text = []

    def send_all(now):
        for member, name in ((first, "n1"), (second, "n2")):
            data = member.send(now, member.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
            victim.received(now, EPOCH, data, (name, 1))

    for member in (first, second):
        member.observe(SECOND, {KEY: 6.0})
    send_all(SECOND)
    for seconds in (0, 2, 4, 8, 11, 13):
        pooled = victim.pooled(SECOND + seconds * SECOND).get(KEY, 0.0)
        text.append(f"{seconds:3} s later {pooled:.2f} answers missed by others")
    for member in (first, second):
        member.observe(20 * SECOND, {KEY: 6.0})
    send_all(20 * SECOND)
    text.append(f"repeated: {victim.pooled(20 * SECOND)[KEY]:.2f}")
    first.observe(21 * SECOND, {})
    send_all(21 * SECOND)
    text.append(f"withdrawn by one of two: {victim.pooled(21 * SECOND).get(KEY, 0.0):.2f}")
    assert_matches_trace("gossip_claims", text)


def test_a_statement_that_was_passed_on_late_counts_as_old():
    origin = agent("n1")
    victim = agent("n0")
    first = origin.send(0, origin.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
    victim.received(0, EPOCH, first, ("n1", 1))
    origin.observe(3 * SECOND, {KEY: 8.0})
    late = origin.send(3 * SECOND, origin.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
    victim.received(60 * SECOND, EPOCH, late, ("n1", 1))
    statement = victim.claims.latest[member_number("n1")].statement
    assert statement.entries and victim.claims.age(statement, 60 * SECOND) == 57 * SECOND
    assert not list(victim.claims.current(60 * SECOND))


# Rate limits


@given(st.lists(st.tuples(st.integers(0, 500_000), st.integers(1, 300)), max_size=80))
def test_a_bucket_never_gives_more_than_its_rate(requests):
    bucket = TokenBucket(1000, 400, 0)
    now = 0
    taken = 0
    for elapsed, amount in requests:
        now += elapsed
        taken += amount * bucket.take(amount, now)
        assert taken <= 400 + 1000 * now / 1e6 + 1e-6


def test_the_send_rate_holds_however_much_there_is_to_send():
    group = SimulatedGroup(12)
    keys = [backend_key(f"s-{i}", 0) for i in range(200)]
    generator = random.Random(3)
    group.run(4)
    sent_before = dict(group.bytes_sent)
    group.run(
        20,
        each=lambda: [
            member.observe(group.now, {k: generator.uniform(1, 9) for k in generator.sample(keys, 50)})
            for member in group.agents.values()
        ],
    )
    # The rate for 20 s, and a burst of eight datagrams of 256 bytes with headers of 28 bytes.
    assert max(group.bytes_sent[name] - sent_before[name] for name in member_names(12)) <= 20 * group.rate + 8 * 284


# Membership


def test_a_member_dies_comes_back_and_another_leaves():
    group = SimulatedGroup(6)
    group.run(6)
    group.log.append("# n3 dies")
    dead = group.agents.pop("n3")
    group.run(40)
    group.log.append("# n3 comes back in a new life")
    group.start("n3", life=EPOCH + 60)
    group.run(8)
    group.log.append("# n4 leaves")
    group.deliver("n4", group.agents["n4"].leave(group.now))
    del group.agents["n4"]
    group.run(4)
    assert dead.life == EPOCH and {tuple(group.count_states(n).items()) for n in group.agents} == {
        (("alive", 4), ("left", 1))
    }
    assert_matches_trace("gossip_membership", [line for line in group.log if "n0:" in line or "#" in line])


def test_no_member_is_declared_dead_when_half_of_all_datagrams_are_lost_duplicated_or_reordered():
    generator = random.Random(5)
    group = SimulatedGroup(10)
    delayed = []

    def lose(sender, receiver, data):
        if generator.random() < 0.3:
            delayed.append((sender, receiver, data))
        return generator.random() < 0.5

    def deliver_delayed():
        generator.shuffle(delayed)
        for sender, receiver, data in [delayed.pop() for _ in range(len(delayed) // 2)]:
            group.deliver(receiver, group.agents[receiver].received(group.now, group.unix(), data, (sender, 1)))

    group.is_lost = lose
    group.run(60, each=deliver_delayed)
    assert not [line for line in group.log if line.endswith("to dead")]
    assert all(set(group.count_states(n)) <= {"alive", "suspect"} for n in group.agents)


def test_a_partition_of_a_minute_heals():
    group = SimulatedGroup(9)
    group.run(8)
    group.partitioned = {"n6", "n7", "n8"}
    group.run(60)
    assert group.count_states("n0") == {"alive": 5, "dead": 3} and group.count_states("n7") == {"alive": 2, "dead": 6}
    group.partitioned = set()
    group.run(25)
    assert all(group.count_states(n) == {"alive": 8} for n in group.agents)


def test_a_member_that_was_stalled_suspects_nobody_and_is_accepted_again():
    group = SimulatedGroup(8)
    group.run(8)
    stalled = group.agents.pop("n2")
    group.run(20)
    group.log.clear()
    group.agents["n2"] = stalled
    group.run(15)
    assert not [line for line in group.log if "n2:" in line and ("suspect" in line or "dead" in line)]
    assert all(group.count_states(n) == {"alive": 7} for n in group.agents)


def test_a_faulty_member_that_suspects_all_causes_no_death_of_members_that_answer():
    group = SimulatedGroup(8)
    faulty = group.agents["n7"]
    faulty.members.suspects = lambda: [
        (number, record.life, record.incarnation) for number, record in faulty.members.records.items()
    ]
    group.run(60)
    assert not [line for line in group.log if line.endswith("to dead")]


def test_suspicions_of_others_cause_no_death_without_a_failed_probe_from_here():
    for answers in (True, False):
        members = Members(1, [2, 3, 4, 5], lambda limit: 0, 0)
        now = 0
        for number in (2, 3, 4, 5):
            members.statement_received(number, EPOCH, 0, 0)
        for _ in range(600):
            now += SECOND // 10
            for accuser in (3, 4, 5):
                members.suspicion_received(2, EPOCH, 0, accuser, now)
            for action in members.step(now):
                if action[0] == "ping" and (answers or action[1] != 2):
                    members.answer_received(action[2], now)
        assert (members.records[2].state == "dead") is not answers


def test_a_claim_reaches_all_members_in_a_few_rumour_intervals():
    group = SimulatedGroup(30)
    group.run(10)
    group.agents["n4"].observe(group.now, {KEY: 7.0})

    def informed():
        """How many members know the claim."""
        return sum(
            bool(received and received.statement.entries)
            for member in group.agents.values()
            for received in [member.claims.latest.get(member_number("n4"))]
        )

    intervals = 0
    while informed() < 30 and intervals < 60:
        group.run(0.2)
        intervals += 1
    assert informed() == 30 and intervals <= 20


def test_what_is_kept_is_bounded_by_the_roster():
    group = SimulatedGroup(5)
    for n in range(60):
        group.start("n4", life=EPOCH + n)
        group.agents["n4"].observe(group.now, {backend_key(f"s-{n}", 0): 9.0})
        group.run(0.5)
    member = group.agents["n0"]
    assert len(member.claims.latest) <= 5 and len(member.verifier.windows) <= 4 and len(member.members.records) == 4
    assert len(member.relayed_probes) <= 16 and len(member.claims.offsets) <= 5


# The effect of peers on the planner

RUNNING = [(b, "running", None) for b in range(6)]


def settled_planner(**settings):
    """A planner with two bound proxies and six backends that answer, are warm and have been known for long."""
    harness = PlannerHarness(decisions=("log", "withdraw"), warm_up_time=3 * SECOND, **settings)
    harness.list_backends(*RUNNING)
    harness.join(1, 2)
    for _ in range(5):
        harness.play_second(range(6), calls=60)
    return harness


def ejected(harness):
    """The indices of the ejected backends."""
    return sorted(b for b, backend in harness.planner.backends.items() if backend.ejected)


def test_claims_of_peers_shorten_the_time_to_ejection_but_do_not_replace_a_missing_answer_seen_here():
    text = []
    for missing in (0.0, 4.0, 50.0):
        harness = settled_planner()
        seconds = 0
        while not ejected(harness) and seconds < 20:
            harness.play_round(("peers_reported_missing", 3, missing))
            harness.play_second([0, 1, 2, 4, 5], calls=20)
            seconds += 1
        text.append(f"peers miss {missing:4}: ejected {ejected(harness)} after {seconds} s without an answer")
    harness = settled_planner()
    for _ in range(20):
        harness.play_round(*(("peers_reported_missing", b, 500.0) for b in range(6)))
        harness.play_second(range(6), calls=60)
    text.append(f"peers miss 500 of each, and all answer here: ejected {ejected(harness)}")
    assert_matches_trace("gossip_doubt", text)


def test_claims_of_peers_eject_no_backend_that_is_cold_or_has_just_returned():
    for state in ("cold", "drained and back", "ejected and back"):
        harness = settled_planner()
        if state == "cold":
            harness.list_backends((3, "running", 0.5), scope="changes")
        elif state == "drained and back":
            harness.list_backends((3, "draining", None), scope="changes")
            harness.list_backends((3, "running", None), scope="changes", after=0.5)
        else:
            while 3 not in ejected(harness):
                harness.play_second([0, 1, 2, 4, 5])
            harness.play_second(range(6))
        harness.play_round(("peers_reported_missing", 3, 500.0))
        harness.play_second([0, 1, 2, 4, 5])  # enough to eject any other backend, see the test above
        assert ejected(harness) == [], state


def test_claims_of_peers_eject_at_most_a_limited_part_of_the_fleet_and_fade():
    harness = settled_planner()
    for _ in range(6):
        harness.play_round(*(("peers_reported_missing", b, 500.0) for b in range(6)))
        harness.play_second([5], calls=60)
    assert len(ejected(harness)) <= 4
    harness = settled_planner()
    harness.play_round(("peers_reported_missing", 3, 8.0))
    for _ in range(8):
        harness.play_second(range(6), calls=60)
    assert harness.planner.backends[3].peer_missing_answers < 0.05
    harness.play_round(("peers_reported_missing", 99, 8.0))
    assert 99 not in harness.planner.backends


def test_a_claim_about_another_life_or_an_unknown_backend_has_no_effect():
    harness = settled_planner()
    names = type("Names", (), {"ids": [f"s-{b}" for b in range(6)]})
    bridge = Bridge(harness.planner, names)
    started = harness.planner.backends[3].started
    assert bridge.events({backend_key("s-3", started): 4.0}) == [("peers_reported_missing", 3, 4.0)]
    harness.list_backends((3, "running", 0.5), scope="changes")
    assert bridge.events({backend_key("s-3", started): 4.0, backend_key("s-77", 0): 9.0}) == [
        ("peers_reported_missing", 3, 0.0)
    ]
    assert bridge.events({}) == []


def test_three_colluding_members_of_twenty_have_no_effect():
    """Their claims are left out as those of the tolerated faulty members. One correct member that misses answers by
    chance as well is less than half of the group, so its claim has no effect either."""
    group = SimulatedGroup(20)
    keys = {backend_key(f"s-{b}", 0): 200.0 for b in range(8)}
    colluding = [group.agents[name] for name in ("n17", "n18", "n19")]
    group.run(20, each=lambda: [member.observe(group.now, keys) for member in colluding])
    assert all(member.pooled(group.now) == {} for member in group.agents.values())
    group.run(
        5,
        each=lambda: [member.observe(group.now, keys) for member in colluding]
        + [group.agents["n3"].observe(group.now, {backend_key("s-1", 0): 2.0})],
    )
    pooled = [member.pooled(group.now) for name, member in group.agents.items() if name != "n3"]
    assert max(missing.get(backend_key("s-1", 0), 0.0) for missing in pooled) == 0.0


def test_a_member_that_is_taken_out_while_another_one_is_probed_for_it_stops_no_timer():
    """Guards against an exception in `tick`, after which the transport never runs it again: a helper was to answer a
    member that had left the roster meanwhile."""
    group = SimulatedGroup(5)
    group.run(8)
    del group.agents["n4"]  # is probed through helpers from now on
    for _ in range(400):
        group.run(0.05)
        helper = next((agent for agent in group.agents.values() if agent.relayed_probes), None)
        if helper:
            break
    requester = next(iter(helper.relayed_probes.values()))[0]
    remaining = [member for member in helper.roster.members.values() if member_number(member.name) != requester]
    name = helper.roster.members[helper.roster.me].name
    helper.update_roster(Roster("test", name, remaining), HashSigner(name), group.now)
    for _ in range(40):
        group.now += SECOND // 10
        helper.tick(group.now, group.unix())
    assert requester not in helper.members.records and not helper.relayed_probes
