"""Gossip without sockets: the format, the seals, merging, membership, and what peers can do to the planner."""

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
from cranecleat.gossip.pace import Bucket
from cranecleat.gossip.roster import Member, Roster, RosterError, member_number
from cranecleat.gossip.seal import Checker, Door, Signer, Window
from cranecleat.gossip.wire import DatagramError, Refused
from gossip_harness import EPOCH, SECOND, Group, names, secret
from planner_harness import PlannerHarness, assert_matches_trace

KEY = backend_key("s-1", 0)


def roster(me="n0", count=3, keys=1):
    return Roster(
        "test",
        me,
        [
            Member(name, (name, 1), tuple(Signer(secret(f"{name}{k or ''}")).public for k in range(keys)))
            for name in names(count)
        ],
    )


def agent(me="n0", count=3, life=EPOCH):
    return Agent(roster(me, count), Signer(secret(me)), me, life, 0)


def datagram(sender="n1", count=3, life=EPOCH, misses=None):
    one = agent(sender, count, life)
    if misses:
        one.observe(SECOND, misses)
    return one.send(SECOND, one.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]


# The format


def test_no_datagram_is_longer_than_256_bytes_and_a_full_one_comes_through():
    many = {backend_key(f"s-{i}", 0): 20.0 for i in range(40)}
    one = agent("n1")
    one.observe(SECOND, many)
    suspects = [(member_number("n2"), EPOCH, i) for i in range(30)]
    data = one.send(SECOND, one.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR, about=suspects)[0][1]
    head = wire.read_head(data)
    found, statement = wire.read_body(data, head)
    assert len(data) <= wire.LONGEST and len(statement.entries) == wire.ENTRIES and len(found) == 1
    with pytest.raises(DatagramError, match="length"):
        wire.read_head(data.ljust(257, b"\0"))


def test_a_datagram_cut_anywhere_or_with_any_bit_flipped_is_refused_and_changes_nothing():
    data, refused = datagram(misses={KEY: 5.0}), {}
    victim = agent("n0")
    victim.door.whole.rate = victim.door.whole.burst = victim.door.whole.held = 1e9
    spoilt = [data[:cut] for cut in range(len(data))]
    spoilt += [data[: i // 8] + bytes([data[i // 8] ^ 1 << i % 8]) + data[i // 8 + 1 :] for i in range(8 * len(data))]
    for n, one in enumerate(spoilt):
        before = victim.refused.total()
        out = victim.received(SECOND + n * SECOND, EPOCH, one, ("n1", 1))
        assert victim.refused.total() == before + 1 and not out
        refused.update(victim.refused)
    assert victim.pooled(SECOND) == {} and set(victim.claims.latest) == {member_number("n0")}
    assert {"length", "format", "group", "stranger", "receiver", "signature"} <= {w.value for w in refused}
    victim.received(10**10, EPOCH, data, ("n1", 1))
    assert member_number("n1") in victim.claims.latest


@given(st.binary(max_size=300))
def test_no_bytes_make_the_reader_fail(data):
    try:
        head = wire.read_head(data)
        wire.read_body(data, head)
    except DatagramError:
        pass


# Seals


def test_who_signs_for_another_is_refused():
    forger, head = (
        Signer(secret("n2")),
        wire.Header(roster().tag, member_number("n1"), 0, EPOCH, 1, wire.Kind.RUMOUR, 0, 0, 0),
    )
    data = wire.pack(head, (), None)
    data += forger.sign(seal.DATAGRAM, roster().digest, data)
    victim = agent("n0")
    victim.received(0, EPOCH, data, ("n1", 1))
    assert victim.refused == {Refused.SIGNATURE: 1}


def test_a_statement_that_was_changed_on_its_way_is_refused_and_its_bearer_believed_no_less():
    honest = agent("n2")
    raw = bytearray(honest.claims.latest[member_number("n2")].statement.raw)
    raw[5] ^= 1
    one = agent("n1")
    head = wire.Header(one.roster.tag, member_number("n1"), 0, EPOCH, 1, wire.Kind.RUMOUR, 0, 0, 0)
    data = wire.pack(head, (), bytes(raw))
    data += one.signer.sign(seal.DATAGRAM, one.roster.digest, data)
    victim = agent("n0")
    victim.received(0, EPOCH, data, ("n1", 1))
    assert victim.refused == {"statement": 1} and member_number("n2") not in victim.claims.latest
    assert victim.members.standing[member_number("n1")].state == "alive"


def test_another_group_with_the_same_keys_is_another_world():
    other = Agent(Roster("other", "n1", roster().members.values()), Signer(secret("n1")), "n1", EPOCH, 0)
    data = other.send(0, other.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
    victim = agent("n0")
    victim.received(0, EPOCH, data, ("n1", 1))
    victim.received(0, EPOCH, data[:2] + victim.roster.tag + data[6:], ("n1", 1))
    assert victim.refused == {Refused.GROUP: 1, Refused.SIGNATURE: 1}


@given(st.lists(st.integers(0, 600), max_size=120))
def test_each_counter_holds_once(counters):
    window, seen, top = Window(), set(), -1
    for counter in counters:
        fresh = window.fresh(1, counter)
        assert fresh == (counter not in seen and counter > top - seal.WINDOW)
        if fresh:
            window.use(1, counter)
            seen.add(counter)
            top = max(top, counter)


def test_old_datagrams_are_refused_also_those_of_an_earlier_life():
    old = datagram(life=EPOCH - 50, misses={KEY: 9.0})
    victim, now = agent("n0"), datagram(life=EPOCH, misses={KEY: 9.0})
    victim.received(SECOND, EPOCH, now, ("n1", 1))
    held = victim.claims.latest[member_number("n1")].statement
    for late in (now, now, old):
        victim.received(2 * SECOND, EPOCH, late, ("n1", 1))
    assert victim.refused == {Refused.REPLAYED: 2, Refused.OLD_LIFE: 1}
    assert victim.claims.latest[member_number("n1")].statement is held


def test_one_whose_clock_was_set_back_learns_its_life_and_is_heard_again():
    group = Group(3)
    group.run(8)
    group.start("n1", life=EPOCH - 86_400 * 30)
    group.run(8)
    assert group.agents["n1"].life == EPOCH + 1
    assert group.states("n0") == group.states("n2") == {"alive": 2}


def test_a_life_of_next_year_is_not_believed_and_ends_no_name():
    victim = agent("n0")
    victim.received(SECOND, EPOCH, datagram(life=EPOCH + 400 * 86_400), ("n1", 1))
    assert victim.refused == {Refused.AHEAD: 1}
    victim.received(SECOND, EPOCH, datagram(), ("n1", 1))
    assert victim.members.standing[member_number("n1")].state == "alive"


def test_a_peers_clock_that_is_off_makes_no_claim_older_or_newer():
    for skew in (-30, 0, 30):
        one, victim = agent("n1", life=EPOCH + skew), agent("n0")
        one.observe((1000 + skew) * SECOND, {KEY: 6.0})
        data = one.send((1000 + skew) * SECOND, one.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
        victim.received(1000 * SECOND, EPOCH, data, ("n1", 1))
        held = victim.claims.latest[member_number("n1")].statement
        assert victim.claims.age(held, 1000 * SECOND) == 0
        assert victim.claims.age(held, 1007 * SECOND) == 7 * SECOND


def test_a_key_changes_in_service_while_what_the_old_one_signed_is_under_way():
    both, victim = roster(keys=2), agent("n0")
    theirs = roster("n1", keys=2)
    old = Agent(theirs, Signer(secret("n1")), "n1", EPOCH, 0)
    before = [old.send(SECOND, old.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1] for _ in range(3)]
    victim.update_roster(both, Signer(secret("n0")), 0)
    old.update_roster(theirs, Signer(secret("n11")), SECOND)
    after = [old.send(SECOND, old.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1] for _ in range(3)]
    for data in (before[0], after[0], before[1], after[1]):
        victim.received(2 * SECOND, EPOCH, data, ("n1", 1))
    assert not victim.refused
    newest = Roster("test", "n0", [replace(m, keys=m.keys[1:]) if m.name == "n1" else m for m in both.members.values()])
    victim.update_roster(newest, Signer(secret("n0")), 0)
    for data in (before[2], after[2]):
        victim.received(2 * SECOND, EPOCH, data, ("n1", 1))
    assert victim.refused == {Refused.SIGNATURE: 1}


def test_a_flood_costs_a_bounded_number_of_verifications_and_keeps_nothing():
    class Counting(Checker):
        asked = 0

        def is_valid(self, *values):
            Counting.asked += 1
            return False

    door = Door(roster(), Counting(roster()), 0)
    good = datagram()
    for n in range(100_000):  # five seconds of 20,000 a second
        now, address = n * 50, ("n1", 1) if n % 2 else ("elsewhere", n % 60000)
        with pytest.raises(DatagramError):
            head = wire.read_head(good)
            door.look(head, address, EPOCH)
            door.verify(head, good, now)
    assert Counting.asked <= seal.VERIFIED_BURST + 5 * seal.VERIFIED
    assert len(door.windows) == 0 and len(door.budgets) == 1


def test_rosters_that_cannot_be_used_say_why():
    one = roster().members[member_number("n1")]
    for members, why in (
        ([one], "no member 'n0'"),
        ([one, one], "stands twice"),
        ([replace(one, keys=())], "keys"),
        ([one, replace(one, name="n2")], "address"),
    ):
        with pytest.raises(RosterError, match=why):
            Roster("test", "n0", members)


# Merging


def statement(origin, life, version, entries):
    return wire.Statement(
        origin, life, 0, version, False, tuple((backend_key(str(k), 0), m, 0) for k, m in entries), b""
    )


statements = st.builds(
    statement,
    st.integers(1, 5),
    st.integers(1, 3),
    st.integers(1, 6),
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 255)), max_size=4, unique_by=lambda e: e[0]),
)


@settings(max_examples=300)
@given(st.lists(statements, max_size=14, unique_by=lambda s: (s.origin, s.order)), st.randoms(), st.integers(0, 13))
def test_merging_is_commutative_associative_and_idempotent(told, chance, cut):
    def state(order):
        held = Claims(0)
        for one in order:
            held.merge(one, 10 * SECOND)
        return {origin: one.statement for origin, one in held.latest.items()}

    shuffled = told + told[:cut]
    chance.shuffle(shuffled)
    left, right = state(told[:cut]), state(told[cut:])
    assert state(told) == state(shuffled) == state([*right.values(), *left.values()])


@given(
    st.lists(st.lists(st.floats(1, 15.9), min_size=1, max_size=1), min_size=1, max_size=12),
    st.integers(1, 4),
    st.integers(0, 4),
)
def test_as_many_members_as_may_lie_can_raise_no_claim_over_what_the_rest_say(honest, liars, lying):
    """With up to that many liars, what counts is at most the sum of what honest members claim."""
    held = Claims(0)
    lying = min(lying, liars)
    told = [[(1, round(m[0] * wire.PARTS) % 256)] for m in honest] + [[(1, 255)]] * lying
    for origin, entries in enumerate(told, 1):
        held.merge(statement(origin, 1, 1, entries), 0)
    pooled = held.pooled(0, range(1, len(told) + 1), liars).get(backend_key("1", 0), 0.0)
    assert pooled <= sum(min(e[0][1] / wire.PARTS, claims.MOST) for e in told[: len(honest)]) + 1e-9


def test_claims_decay_end_and_are_withdrawn():
    one, victim, text = agent("n1", 4), agent("n0", 4), []
    two = agent("n2", 4)

    def tell(now):
        for who, name in ((one, "n1"), (two, "n2")):
            data = who.send(now, who.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
            victim.received(now, EPOCH, data, (name, 1))

    for who in (one, two):
        who.observe(SECOND, {KEY: 6.0})
    tell(SECOND)
    for after in (0, 2, 4, 8, 11, 13):
        pooled = victim.pooled(SECOND + after * SECOND).get(KEY, 0.0)
        text.append(f"{after:3} s later {pooled:.2f} answers missing by others")
    for who in (one, two):
        who.observe(20 * SECOND, {KEY: 6.0})
    tell(20 * SECOND)
    text.append(f"said again {victim.pooled(20 * SECOND)[KEY]:.2f}")
    one.observe(21 * SECOND, {})
    tell(21 * SECOND)
    text.append(f"one has an answer: {victim.pooled(21 * SECOND).get(KEY, 0.0):.2f}")
    assert_matches_trace("gossip_claims", text)


def test_what_was_passed_on_late_counts_as_old():
    one, victim = agent("n1"), agent("n0")
    first = one.send(0, one.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
    victim.received(0, EPOCH, first, ("n1", 1))
    one.observe(3 * SECOND, {KEY: 8.0})
    late = one.send(3 * SECOND, one.rumour_bucket, member_number("n0"), wire.Kind.RUMOUR)[0][1]
    victim.received(60 * SECOND, EPOCH, late, ("n1", 1))
    held = victim.claims.latest[member_number("n1")].statement
    assert held.entries and victim.claims.age(held, 60 * SECOND) == 57 * SECOND
    assert not list(victim.claims.current(60 * SECOND))


# Pace


@given(st.lists(st.tuples(st.integers(0, 500_000), st.integers(1, 300)), max_size=80))
def test_a_bucket_never_gives_more_than_its_rate(asked):
    bucket, now, given_out = Bucket(1000, 400, 0), 0, 0
    for later, amount in asked:
        now += later
        given_out += amount * bucket.take(amount, now)
        assert given_out <= 400 + 1000 * now / 1e6 + 1e-6


def test_the_pace_holds_however_much_there_is_to_say():
    group = Group(12)
    keys = [backend_key(f"s-{i}", 0) for i in range(200)]
    chance = random.Random(3)
    group.run(4)
    before = dict(group.sent)
    group.run(
        20,
        each=lambda: [
            one.observe(group.now, {k: chance.uniform(1, 9) for k in chance.sample(keys, 50)})
            for one in group.agents.values()
        ],
    )
    assert max(group.sent[name] - before[name] for name in names(12)) <= 20 * group.rate + 8 * 284


# Membership


def test_membership_a_life_in_short():
    group = Group(6)
    group.run(6)
    group.log.append("# n3 dies")
    dead = group.agents.pop("n3")
    group.run(40)
    group.log.append("# n3 comes back in a new life")
    group.start("n3", life=EPOCH + 60)
    group.run(8)
    group.log.append("# n4 leaves")
    group.carry("n4", group.agents["n4"].leave(group.now))
    del group.agents["n4"]
    group.run(4)
    assert dead.life == EPOCH and {tuple(group.states(n).items()) for n in group.agents} == {
        (("alive", 4), ("left", 1))
    }
    assert_matches_trace("gossip_membership", [line for line in group.log if "n0:" in line or "#" in line])


def test_half_of_all_lost_doubled_and_reordered_kills_nobody():
    chance, group, later = random.Random(5), Group(10), []

    def spoil(sender, to, data):
        if chance.random() < 0.3:
            later.append((sender, to, data))
        return chance.random() < 0.5

    def deliver():
        chance.shuffle(later)
        for sender, to, data in [later.pop() for _ in range(len(later) // 2)]:
            group.carry(to, group.agents[to].received(group.now, group.unix(), data, (sender, 1)))

    group.lost = spoil
    group.run(60, each=deliver)
    assert not [line for line in group.log if line.endswith("to dead")]
    assert all(set(group.states(n)) <= {"alive", "suspect"} for n in group.agents)


def test_a_part_cut_off_for_a_minute_heals():
    group = Group(9)
    group.run(8)
    group.apart = {"n6", "n7", "n8"}
    group.run(60)
    assert group.states("n0") == {"alive": 5, "dead": 3} and group.states("n7") == {"alive": 2, "dead": 6}
    group.apart = set()
    group.run(25)
    assert all(group.states(n) == {"alive": 8} for n in group.agents)


def test_one_that_stood_still_accuses_nobody_and_is_missed():
    group = Group(8)
    group.run(8)
    still = group.agents.pop("n2")
    group.run(20)
    group.log.clear()
    group.agents["n2"] = still
    group.run(15)
    assert not [line for line in group.log if "n2:" in line and ("suspect" in line or "dead" in line)]
    assert all(group.states(n) == {"alive": 7} for n in group.agents)


def test_a_liar_that_says_all_are_dead_kills_nobody_that_answers():
    group = Group(8)
    liar = group.agents["n7"]
    liar.members.suspects = lambda: [(one, s.life, s.incarnation) for one, s in liar.members.standing.items()]
    group.run(60)
    assert not [line for line in group.log if line.endswith("to dead")]


def test_no_word_of_others_ends_in_death_without_a_failed_probe_of_ones_own():
    for answers in (True, False):
        members, now = Members(1, [2, 3, 4, 5], lambda below: 0, 0), 0
        for one in (2, 3, 4, 5):
            members.heard(one, EPOCH, 0, 0)
        for _ in range(600):
            now += SECOND // 10
            for accuser in (3, 4, 5):
                members.accused(2, EPOCH, 0, accuser, now)
            for order in members.step(now):
                if order[0] == "ping" and (answers or order[1] != 2):
                    members.answered(order[2], now)
        assert (members.standing[2].state == "dead") is not answers


def test_everybody_hears_a_claim_in_a_few_rounds():
    group = Group(30)
    group.run(10)
    group.agents["n4"].observe(group.now, {KEY: 7.0})

    def heard():
        return sum(
            bool(held and held.statement.entries)
            for one in group.agents.values()
            for held in [one.claims.latest.get(member_number("n4"))]
        )

    rounds = 0
    while heard() < 30 and rounds < 60:
        group.run(0.2)
        rounds += 1
    assert heard() == 30 and rounds <= 20


def test_what_is_kept_is_bounded_by_the_roster():
    group = Group(5)
    for n in range(60):
        group.start("n4", life=EPOCH + n)
        group.agents["n4"].observe(group.now, {backend_key(f"s-{n}", 0): 9.0})
        group.run(0.5)
    one = group.agents["n0"]
    assert len(one.claims.latest) <= 5 and len(one.door.windows) <= 4 and len(one.members.standing) == 4
    assert len(one.asked) <= 16 and len(one.claims.offsets) <= 5


# What peers can do to the planner

RUNNING = [(b, "running", None) for b in range(6)]


def settled(**figures):
    """Six backends that answer, warm and long known, two proxies bound."""
    harness = PlannerHarness(decisions=("log", "withdraw"), warm_up_time=3 * SECOND, **figures)
    harness.list_backends(*RUNNING)
    harness.join(1, 2)
    for _ in range(5):
        harness.play_second(range(6), calls=60)
    return harness


def shut(harness):
    return sorted(b for b, x in harness.planner.backends.items() if x.ejected)


def test_doubt_shortens_the_proof_and_never_replaces_the_first_sign():
    text = []
    for doubt in (0.0, 4.0, 50.0):
        harness, seconds = settled(), 0
        while not shut(harness) and seconds < 20:
            harness.play_round(("peers_reported_missing", 3, doubt))
            harness.play_second([0, 1, 2, 4, 5], calls=20)
            seconds += 1
        text.append(f"peers miss {doubt:4}: shut out {shut(harness)} after {seconds} turns without an answer")
    harness = settled()
    for _ in range(20):
        harness.play_round(*(("peers_reported_missing", b, 500.0) for b in range(6)))
        harness.play_second(range(6), calls=60)
    text.append(f"peers miss 500 of each, and all answer here: shut out {shut(harness)}")
    assert_matches_trace("gossip_doubt", text)


def test_doubt_touches_neither_cold_nor_lately_returned_backends():
    for state in ("cold", "back", "let in"):
        harness = settled()
        if state == "cold":
            harness.list_backends((3, "running", 0.5), scope="changes")
        elif state == "back":
            harness.list_backends((3, "draining", None), scope="changes")
            harness.list_backends((3, "running", None), scope="changes", after=0.5)
        else:
            while 3 not in shut(harness):
                harness.play_second([0, 1, 2, 4, 5])
            harness.play_second(range(6))
        harness.play_round(("peers_reported_missing", 3, 500.0))
        harness.play_second([0, 1, 2, 4, 5])  # enough where it is neither, see the test above
        assert shut(harness) == [], state


def test_doubt_shuts_out_no_more_than_the_standing_part_and_fades():
    harness = settled()
    for _ in range(6):
        harness.play_round(*(("peers_reported_missing", b, 500.0) for b in range(6)))
        harness.play_second([5], calls=60)
    assert len(shut(harness)) <= 4
    harness = settled()
    harness.play_round(("peers_reported_missing", 3, 8.0))
    for _ in range(8):
        harness.play_second(range(6), calls=60)
    assert harness.planner.backends[3].peer_missing_answers < 0.05
    harness.play_round(("peers_reported_missing", 99, 8.0))
    assert 99 not in harness.planner.backends


def test_a_claim_of_another_life_or_an_unknown_backend_means_nothing_here():
    harness = settled()
    shown = type("Names", (), {"ids": [f"s-{b}" for b in range(6)]})
    bridge = Bridge(harness.planner, shown)
    started = harness.planner.backends[3].started
    assert bridge.events({backend_key("s-3", started): 4.0}) == [("peers_reported_missing", 3, 4.0)]
    harness.list_backends((3, "running", 0.5), scope="changes")
    assert bridge.events({backend_key("s-3", started): 4.0, backend_key("s-77", 0): 9.0}) == [
        ("peers_reported_missing", 3, 0.0)
    ]
    assert bridge.events({}) == []


def test_three_of_twenty_that_collude_empty_no_pool():
    """Their claims are left out, and one honest member that misses answers by chance does not make half of them."""
    group = Group(20)
    keys = {backend_key(f"s-{b}", 0): 200.0 for b in range(8)}
    liars = [group.agents[name] for name in ("n17", "n18", "n19")]
    group.run(20, each=lambda: [one.observe(group.now, keys) for one in liars])
    assert all(one.pooled(group.now) == {} for one in group.agents.values())
    group.run(
        5,
        each=lambda: [one.observe(group.now, keys) for one in liars]
        + [group.agents["n3"].observe(group.now, {backend_key("s-1", 0): 2.0})],
    )
    pooled = [one.pooled(group.now) for name, one in group.agents.items() if name != "n3"]
    assert max(each.get(backend_key("s-1", 0), 0.0) for each in pooled) == 0.0
