"""The files transport: format, publication step by step, readers, intake, and the choice of transport."""

import contextlib
import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecleat.decoding import IndexMap
from cranecleat.files import format as fmt
from cranecleat.files.choice import FILES, STREAM, STREAM_LOST_AFTER_US, STREAM_STABLE_AFTER_US, Choice
from cranecleat.files.disk import Disk, FencedError, FolderHeldError, FolderLock, apply_step
from cranecleat.files.format import Body, Header, Orders, Tables, UnusableFileError
from cranecleat.files.intake import Intake
from cranecleat.files.ledger import ABOUT, Ledger
from cranecleat.files.recover import scan_folder
from cranecleat.files.view import View
from files_harness import (
    BAD_DISK,
    NO_SPACE,
    ROUTES,
    SECOND,
    Counted,
    Killed,
    Writer,
    fail_at,
    follower,
    kill_at,
    report,
    told,
)
from planner_harness import assert_matches_trace

STAMP = Header(3, 1000, 7, 6)
odd = st.text(st.characters(min_codepoint=1, max_codepoint=0x2FFF), max_size=12)


# The format


def test_the_files_of_a_small_folder_as_people_read_them():
    body, called = fmt.write_body(Body((("s-5be2a07c", 1.5), ("s odd/\u00e9", 0.2))))
    tables = Tables(STAMP, {0: called}, {(None, "read"): (0.9, 1), (0, "new-address"): (1.0, 1)}, frozenset({"s-77"}))
    orders = Orders(STAMP, 17, True, 7, {"read": 0}, (fmt.Again(50331649, "call 9", "refused"),))
    back = report(
        "p17",
        calls={"read": 12},
        met={"s-5be2a07c": (9, 1, 420)},
        load={"s-5be2a07c": (0.5, 9.0)},
        applied=(7, 7),
        typical=21.5,
    )
    assert_matches_trace(
        "files_format",
        b"".join([body, fmt.write_tables(tables), fmt.write_orders(orders), fmt.write_report(back)])
        .decode()
        .rstrip("\n")
        .split("\n"),
    )


@given(st.lists(st.tuples(odd, st.floats(0, 1e6)), unique_by=lambda e: e[0], max_size=6))
def test_any_name_comes_back_as_it_was(lines):
    body = Body(tuple((name, float(fmt.figure(weight))) for name, weight in lines))
    data, called = fmt.write_body(body)
    assert fmt.read_body(data, called) == body
    tables = Tables(STAMP, {1: called}, {(None, name): (0.5, 1) for name, _ in lines}, frozenset(n for n, _ in lines))
    assert fmt.read_tables(fmt.write_tables(tables)) == tables
    orders = Orders(STAMP, 1, False, 2, {name: 1 for name, _ in lines}, ())
    assert fmt.read_orders(fmt.write_orders(orders)) == orders


def samples():
    body, called = fmt.write_body(Body((("s-1", 1.5), ("s-2", 0.2))))
    return [
        (body, lambda data: fmt.read_body(data, called)),
        (fmt.write_tables(Tables(STAMP, {0: called}, {(None, "read"): (0.9, 1)}, frozenset({"s-7"}))), fmt.read_tables),
        (fmt.write_orders(Orders(STAMP, 3, True, 7, {"read": 0}, (fmt.Again(1, "c", "unsent"),))), fmt.read_orders),
        (fmt.write_report(report(calls={"read": 3}, met={"s-1": (2, 1, 7)})), fmt.read_report),
    ]


def test_a_file_cut_at_any_byte_or_with_any_bit_flipped_is_refused():
    for data, read in samples():
        read(data)
        for cut in range(len(data)):
            with pytest.raises(UnusableFileError):
                read(data[:cut])
        for bit in range(8 * len(data)):
            with pytest.raises(UnusableFileError):
                read(data[: bit // 8] + bytes([data[bit // 8] ^ 1 << bit % 8]) + data[bit // 8 + 1 :])


@given(st.binary(max_size=200))
def test_no_bytes_make_a_reader_of_files_fail_otherwise(data):
    for read in (fmt.read_tables, fmt.read_orders, fmt.read_report, lambda d: fmt.read_body(d, "0" * 32)):
        with pytest.raises(UnusableFileError):
            read(data)


def test_what_is_signed_and_yet_wrong_says_what():
    text, stamp = [], [f"{k} 1" for k in ("fence", "life", "generation", "after")]
    for kind, read, lines in (
        ("tables", fmt.read_tables, [*stamp, "table 0 zz"]),
        ("tables", fmt.read_tables, stamp[1:]),
        ("tables", fmt.read_tables, [*stamp, "out a b"]),
        ("tables", fmt.read_tables, [*stamp, "more 1"]),
        ("tables", fmt.read_tables, [*stamp, "level all read nan 1"]),
        ("orders", fmt.read_orders, [*stamp, "proxy 1", "active 2", "needs 1"]),
        ("orders", fmt.read_orders, [*stamp, "proxy -1", "active 1", "needs 1"]),
        ("orders", fmt.read_orders, [*stamp, "proxy 1", "active 1", "needs 1", "again 5 c maybe"]),
        (
            "orders",
            fmt.read_orders,
            [*stamp, "proxy 1", "active 1", "needs 1", "again 5 c refused", "again 4 c refused"],
        ),
        ("body", lambda d: fmt.read_body(d, fmt.hashlib.blake2b(d, digest_size=16).hexdigest()), ["s-1 x"]),
        ("orders", fmt.read_tables, stamp),
    ):
        with pytest.raises(UnusableFileError) as wrong:
            read(fmt.sealed(kind, lines))
        text.append(f"{kind} {lines[-1]!r}: {wrong.value}")
    assert_matches_trace("files_wrong", text)


# Publication, step by step


def steps_of_one_publication(folder):
    """How many changing system calls a publication of a new state takes."""
    counted = Counted()
    writer = Writer(folder, counted).begin().state(1)
    writer.publish()
    before = counted.count
    writer.state(2).publish()
    writer.end()
    return counted.count - before


def test_a_writer_killed_between_any_two_steps_leaves_one_whole_state_and_the_next_goes_on(tmp_path):
    total = steps_of_one_publication(tmp_path / "count")
    assert total > 20
    for k in range(1, total + 1):
        folder = tmp_path / str(k)
        counted = Counted()
        writer = Writer(folder, counted).begin().state(1)
        writer.publish()
        reader = follower(folder)
        reader.poll()
        assert told(reader) == 1
        begun = counted.count
        counted.ask = kill_at(begun + k)
        with pytest.raises(Killed):
            writer.state(2).publish()
        writer.end()
        reader.poll()
        fresh = follower(folder)
        fresh.poll()
        assert told(reader) in (1, 2) and told(fresh) in (1, 2)
        after = Writer(folder, unix=2000)
        assert after.ledger.generation >= writer.found.generation and after.found.wrong == []
        after.begin().state(3).publish()
        for one in (reader, fresh):
            one.poll()
            assert told(one) == 3, (k, one.wrong)
        assert not [name for _, _, names in os.walk(folder) for name in names if name.endswith(".new")]
        after.end()


@pytest.mark.parametrize("code", [NO_SPACE, BAD_DISK])
def test_a_full_disk_or_a_failed_sync_at_any_step_keeps_the_last_state_and_is_made_good(tmp_path, code):
    total, failures = steps_of_one_publication(tmp_path / "count"), 0
    for k in range(1, total + 1):
        folder = tmp_path / str(k)
        counted = Counted()
        writer = Writer(folder, counted).begin().state(1)
        writer.publish()
        reader = follower(folder)
        reader.poll()
        counted.ask = fail_at(counted.count + k, code)
        try:
            writer.state(2).publish()
        except OSError:
            failures += 1
            writer.ledger.publication_failed()
            reader.poll()
            assert told(reader) in (1, 2)
            seen = reader.view.seen
            counted.ask = lambda n, name: None
            writer.publish()
            reader.poll()
            assert reader.view.seen > seen or reader.view.seen == seen and told(reader) == 2
        reader.poll()
        assert told(reader) == 2
        assert not scan_folder(writer.disk).wrong
        writer.end()
    assert failures > total / 2


def test_files_replaced_twice_while_a_reader_stands_between_any_two_of_its_calls(tmp_path):
    writer = Writer(tmp_path, sync="none").begin().state(1)
    writer.publish()
    state, k, ends = 1, 0, 0
    while True:
        k += 1
        moved = []

        def at(n, name, k=k, moved=moved, state=state):
            if n == k:
                moved.append(n)
                for _ in range(2):
                    moved.append(writer.state(state + len(moved)).publish())

        counted = Counted(at, only=("open", "read", "fstat", "close"))
        reader = follower(tmp_path, calls=counted)
        reader.poll()
        assert told(reader) is None or state <= told(reader) <= state + 2, (k, reader.wrong)
        state += 2
        reader.disk.calls = Counted()
        reader.poll()
        assert told(reader) == (state if moved else told(reader))
        if not moved:
            ends += 1
            break
        state = told(reader)
    assert k > 12 and ends


def test_two_writers_on_one_folder_the_second_refuses_and_one_that_was_fenced_stops(tmp_path):
    first = Writer(tmp_path).begin().state(1)
    with pytest.raises(FolderHeldError, match="n0, fence 1000"):
        Writer(tmp_path, unix=2000)
    first.publish()
    os.close(first.lock.file)  # another machine, where the lock does not reach
    second = Writer(tmp_path, unix=900).begin().state(2)
    second.publish()
    reader = follower(tmp_path)
    reader.poll()
    assert told(reader) == 2 and second.lock.fence == 1001
    with pytest.raises(FencedError, match="fence 1001; ours is 1000"):
        first.state(3).publish()
    for step in first.ledger.steps():  # one that had looked just before it was fenced
        apply_step(first.disk, step)
    reader.poll()
    assert told(reader) == 2 and "where 1001 has been seen" in reader.wrong


def test_bodies_stay_while_a_reader_may_need_them_and_go_after(tmp_path):
    writer = Writer(tmp_path).begin().state(1)
    writer.publish()
    reader = follower(tmp_path)
    reader.poll()
    for n in range(2, 12):
        writer.state(n).publish()
    assert len(os.listdir(tmp_path / "bodies")) == 11
    reader.poll()
    for p in range(3):
        writer.ledger.acknowledge(p, *reader.view.in_force.applied, 0, 5)
    writer.state(12).publish()
    assert len(os.listdir(tmp_path / "bodies")) <= 2
    for n in range(13, 200):  # nobody says anything any more: what is kept stays bounded
        writer.state(n).publish()
    assert len(os.listdir(tmp_path / "bodies")) <= 66
    reader.poll()
    assert told(reader) == 199


def test_a_folder_of_an_earlier_life_is_taken_up_and_what_is_odd_in_it_is_said(tmp_path):
    writer = Writer(tmp_path).begin().state(1)
    writer.publish()
    writer.end()
    (tmp_path / "notes.txt").write_text("of a person")
    (tmp_path / "orders" / "1").write_bytes((tmp_path / "orders" / "1").read_bytes()[:-20])
    (tmp_path / "orders" / "2").unlink()
    (tmp_path / "orders" / "2").symlink_to("/etc/hostname")
    (tmp_path / "bodies" / ("0" * 32)).write_text("x")
    (tmp_path / "tables.new").write_text("half")
    after = Writer(tmp_path, unix=2000)
    assert after.lock.fence > writer.lock.fence and after.found.swept == 1
    assert after.found.foreign == ["notes.txt"]
    assert_matches_trace("files_earlier_life", [f"{path}: {wrong}" for path, wrong in sorted(after.found.wrong)])
    after.begin().state(4).publish()
    reader = follower(tmp_path, 1)
    reader.poll()
    assert told(reader) == 4


# Orders to try again


def test_an_order_to_try_again_is_acted_on_once_over_everything(tmp_path):
    writer, kept = Writer(tmp_path / "d").begin().state(1), tmp_path / "kept"
    writer.publish()
    reader, acted, text = follower(tmp_path / "d", kept=kept), [], []

    def look_at(who, what):
        found = who.poll()
        acted.extend(order.call for order in found)
        text.append(f"{what}: {[order.call for order in found] or 'nothing'}")

    look_at(reader, "no order")
    first = writer.ledger.order_retry(0, "new-address 17", "refused")
    writer.publish()
    old = (tmp_path / "d" / "orders" / "0").read_bytes()
    look_at(reader, "ordered")
    look_at(reader, "looked at again")
    writer.state(2).publish()
    look_at(reader, "published anew, not yet acknowledged")
    reader = follower(tmp_path / "d", kept=kept)
    look_at(reader, "reader started again")
    writer.ledger.acknowledge(0, *reader.view.in_force.applied, reader.view.done, 5)
    writer.publish()
    look_at(reader, "acknowledged")
    (tmp_path / "d" / "orders" / "0").write_bytes(old)
    look_at(reader, "an older generation is put back")
    look_at(follower(tmp_path / "d", kept=kept), "the same, seen by a reader that started again")
    writer.end()
    after = Writer(tmp_path / "d", unix=5000).begin().state(3)
    second = after.ledger.order_retry(0, "new-address 18", "unsent")
    after.publish()
    look_at(reader, "ordered by the writer's next life")
    (tmp_path / "d" / "orders" / "0").write_bytes(old)
    look_at(reader, "a file of its earlier life is put back")
    assert acted == ["new-address 17", "new-address 18"] and second > first
    assert_matches_trace("files_again", text)


def test_a_reader_that_dies_before_it_acts_never_acts_twice(tmp_path):
    """What is kept stands before the call goes: killed at any step, a call goes out once at the most."""
    for k in range(1, 12):
        folder, kept = tmp_path / f"d{k}", tmp_path / f"kept{k}"
        writer = Writer(folder).begin().state(1)
        writer.ledger.order_retry(0, "c", "refused")
        writer.publish()
        reader, acted = follower(folder, kept=kept), []
        save = reader.save

        def dying(order, k=k, save=save):
            if k % 2:
                raise Killed
            save(order)

        reader.save = dying
        with contextlib.suppress(Killed):
            acted += reader.poll()
        acted += follower(folder, kept=kept).poll()
        acted += follower(folder, kept=kept).poll()
        assert len(acted) == 1
        writer.end()


def test_only_proof_and_only_so_many():
    ledger = Ledger(IndexMap(), ROUTES, 1, 1)
    assert ledger.order_retry(0, "c", "refused") is None  # not joined
    ledger.join(0)
    numbers = [ledger.order_retry(0, f"c{i}", "refused") for i in range(ABOUT + 1)]
    assert numbers[-1] is None and numbers[:-1] == sorted(set(numbers[:-1]))


# Marks and lag


def test_a_mark_is_answered_by_what_is_in_force_and_a_lagging_reader_is_known(tmp_path):
    writer, text = Writer(tmp_path, proxies=2).begin(), []
    ledger = writer.ledger
    text.append(f"bound: mark 1 concerns {sorted(ledger.request_ack(1))}")
    writer.publish()
    readers = [follower(tmp_path, p) for p in range(2)]
    for reader in readers:
        reader.poll()
    for p, reader in enumerate(readers):
        text.append(f"proxy {p} applies: answers {ledger.acknowledge(p, *reader.view.in_force.applied, 0, 0)}")
    text.append("# backend 1 drains; proxy 1 stops reading for a minute")
    ledger.withdraw(1, True)
    text.append(f"mark 2 concerns {sorted(ledger.request_ack(2))}")
    writer.now = 10 * SECOND
    writer.publish()
    readers[0].poll()
    text.append(f"proxy 0: {ledger.acknowledge(0, *readers[0].view.in_force.applied, 0, 10 * SECOND)}")
    ledger.set_weight(0, 2, 5.0)
    ledger.request_ack(3)
    writer.publish()
    readers[0].poll()
    text.append(f"proxy 0: {ledger.acknowledge(0, *readers[0].view.in_force.applied, 0, 11 * SECOND)}")
    stale = ledger.acknowledge(1, *readers[1].view.in_force.applied, 0, 70 * SECOND)
    text.append(
        f"proxy 1 still says the old: {stale}, " f"lag {[lag // SECOND for lag in ledger.lags(70 * SECOND).values()]} s"
    )
    readers[1].poll()
    assert "s-1" not in readers[1].view.pick_from("read")
    text.append(
        f"proxy 1 reads on: {ledger.acknowledge(1, *readers[1].view.in_force.applied, 0, 71 * SECOND)}, "
        f"lag {[lag // SECOND for lag in ledger.lags(71 * SECOND).values()]} s"
    )
    text.append(f"one of another writer's life says far more: {ledger.acknowledge(1, 10**9, 10**9, 0, 0)}")
    assert_matches_trace("files_marks", text)


def test_a_thousand_proxies_share_bodies_and_one_line_costs_one_body_and_the_tables(tmp_path):
    writer = Writer(tmp_path, proxies=1000, sync="none").begin()
    writer.publish()
    assert len(os.listdir(tmp_path / "orders")) == 1000 and len(os.listdir(tmp_path / "bodies")) == 1
    before = dict(writer.ledger.counters)
    writer.ledger.set_weight(0, 2, 7.0)
    writer.publish()
    assert writer.ledger.counters["swaps"] - before["swaps"] == 2
    assert writer.ledger.counters["bytes"] - before["bytes"] < 600
    reader = follower(tmp_path, 999)
    reader.poll()
    assert reader.view.pick_from("read")["s-2"] == 7.0


# Readers


def test_a_folder_that_is_away_replaced_or_spoilt_leaves_in_force_what_was(tmp_path):
    folder, text = tmp_path / "d", []
    writer = Writer(folder).begin().state(1)
    writer.publish()
    reader = follower(folder)

    def look_at(what):
        reader.poll()
        text.append(f"{what}: state {told(reader)}" + (f" ({reader.wrong})" if reader.wrong else ""))

    look_at("there")
    folder.rename(tmp_path / "away")
    look_at("away")
    writer.end()
    other = Writer(folder, unix=3000).begin().state(5)
    other.publish()
    look_at("replaced by another")
    data = (folder / "tables").read_bytes()
    (folder / "tables").write_bytes(data[:-3])
    look_at("tables cut")
    (folder / "tables").unlink()
    (folder / "tables").symlink_to("/etc/hostname")
    look_at("tables a link")
    (folder / "tables").unlink()
    look_at("tables gone")
    other.state(6).publish()
    look_at("published again")
    assert_matches_trace("files_reader", [line.replace(str(tmp_path), "") for line in text])


@settings(max_examples=200)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 6), st.integers(1, 6), st.integers(0, 6)), max_size=20))
def test_a_reader_never_goes_back(offers):
    view, last = View(0), (0, (0, 0))
    for fence, tables, orders, needs in offers:
        told_tables = Tables(Header(fence, 1, tables, 0), {0: "x"}, {}, frozenset())
        told_orders = Orders(Header(fence, 1, orders, 0), 0, True, needs, {"read": 0})
        try:
            view.offer(told_orders, told_tables, lambda name: Body((("s", 1.0),)))
        except UnusableFileError:
            assert (view.fence, view.seen) == last
            continue
        assert (
            view.fence > last[0]
            or view.fence == last[0]
            and all(a >= b for a, b in zip(view.seen, last[1], strict=True))
        )
        assert tables >= needs
        last = view.fence, view.seen


# What comes back


def intake():
    names = IndexMap()
    names("s-1")
    return Intake({"a": 0, "b": 1}, {"read": 0, "new-address": 1}, 5, names, SECOND)


def test_reports_count_once_in_order_over_lives_and_silence():
    taken, text, now = intake(), [], 0

    def take(after, *values, **more):
        nonlocal now
        now += round(after * SECOND)
        text.append(f"{now / SECOND:5.2f}  {taken.take(now, report(*values, **more)) or 'nothing'}")

    take(0, "p3", calls={"read": 100}, typical=7.0)
    take(0.5, "p3", beat=2, calls={"read": 105})
    take(0.6, "p3", beat=3, calls={"read": 111, "new-address": 4})
    take(0.1, "p3", beat=3, calls={"read": 111})
    take(0.1, "p3", beat=2, calls={"read": 105})
    text.append("# many were replaced unread")
    take(2.0, "p3", beat=40, calls={"read": 131, "new-address": 4})
    text.append("# a new life of the proxy")
    take(0.5, "p3", life=2, calls={"read": 2}, standing=True)
    text.append("# a collector")
    take(0.2, "zb", zone="b", met={"s-1": (10, 2, 800), "s-unlisted": (5, 0, 9)})
    take(1.0, "zb", zone="b", beat=2, met={"s-1": (16, 3, 1300), "s-unlisted": (9, 0, 90)}, load={"s-1": (0.5, 6.0)})
    now += 3 * SECOND
    text.append(f"{now / SECOND:5.2f}  silent: {taken.silent(now)}")
    text.append("# our own next life: the first report says from where on")
    taken = intake()
    take(0, "p3", life=2, beat=50, calls={"read": 90})
    take(1.0, "p3", life=2, beat=60, calls={"read": 95})
    assert_matches_trace("files_intake", text)


def test_reports_that_cannot_be_are_refused_one_by_one():
    taken, text = intake(), []
    taken.take(0, report("p1", calls={"read": 10}, met={"s-1": (5, 1, 100)}))
    for n, (who, more) in enumerate(
        (
            ("p5", {}),
            ("p01", {}),
            ("p-1", {}),
            ("q1", {}),
            ("zc", {}),
            ("p2", {"zone": "x"}),
            ("p2", {"every": 0}),
            ("p1", {"calls": {"read": 9}}),
            ("p1", {"calls": {"read": 11, "odd": 1}}),
            ("p1", {"calls": {"read": 10**9}}),
            ("p1", {"met": {"s-1": (4, 1, 100)}, "calls": {"read": 10}}),
            ("p1", {"met": {"s-1": (6, 5, 100)}, "calls": {"read": 10}}),
        )
    ):
        with pytest.raises(UnusableFileError) as wrong:
            taken.take(SECOND, report(who, beat=2 + n, **more))
        text.append(f"{who} {more}: {wrong.value}")
    assert taken.take(2 * SECOND, report("p1", beat=99, calls={"read": 13}))[0] == (
        "demand_reported",
        1,
        0,
        3,
        2 * SECOND,
    )
    assert_matches_trace("files_refused", text)


def test_a_clock_that_steps_back_counts_nothing_twice_and_ends_nobody():
    taken = intake()
    taken.take(100 * SECOND, report("p1", calls={"read": 1}))
    assert taken.take(10 * SECOND, report("p1", beat=2, calls={"read": 5})) == []
    assert taken.silent(10 * SECOND) == ([], [])
    assert taken.take(101 * SECOND, report("p1", beat=3, calls={"read": 9}))[0] == ("demand_reported", 1, 0, 8, SECOND)


# Which transport


def test_going_over_and_back_with_hysteresis():
    choice, text, now = Choice(), [], 0

    def then(after, what=None, *values):
        nonlocal now
        now += round(after * SECOND)
        if what:
            getattr(choice, what)(now, 7, *values)
        for proxy, serves in choice.decide(now):
            text.append(f"{now / SECOND:6.2f}  proxy {proxy}: {serves}")

    then(0, "stream", True)
    then(0, "files", True)
    then(5, "stream", False)
    then(1.0)
    then(0.6)
    text.append("# the stream comes and goes: files stay")
    for _ in range(4):
        then(1.0, "stream", True)
        then(2.0, "stream", False)
    then(1, "stream", True)
    then(9)
    then(1.1)
    text.append("# both go")
    then(1, "files", False)
    then(1, "stream", False)
    then(1)
    assert choice.sides == {}
    assert_matches_trace("files_choice", text)


@given(
    st.lists(st.tuples(st.sampled_from(["stream", "files"]), st.booleans(), st.integers(0, 12_000_000)), max_size=40)
)
def test_nobody_is_served_by_what_does_not_stand_nor_goes_back_too_soon(told_in_turn):
    choice, now, up, since = Choice(), 0, {STREAM: False, FILES: False}, {STREAM: 0, FILES: 0}
    served = None
    for kind, standing, later in told_in_turn:
        now += later
        choice.decide(now)
        getattr(choice, kind)(now, 1, standing)
        if up[kind] != standing or kind == "stream":
            up[kind], since[kind] = standing, now
        for _, serves in choice.decide(now):
            if serves == STREAM and served == FILES and up[FILES]:
                assert now - since[STREAM] >= STREAM_STABLE_AFTER_US
            if serves == FILES:
                assert now - since[STREAM] >= STREAM_LOST_AFTER_US or not up[STREAM]
            served = serves
        served = choice.serves(1)
        assert served is None or up[served]


def test_chance_swaps_under_a_reader_show_no_mixture(tmp_path):
    """Two thousand publications with reads at random instants between steps; `benchmarks/files.py` does it over
    processes."""
    chance, n = random.Random(8), 1
    writer = Writer(tmp_path, sync="none", proxies=2).begin().state(1)
    writer.publish()
    readers = [follower(tmp_path, p) for p in range(2)]
    seen = set()

    def at(_, name):
        if chance.random() < 0.1:
            reader = chance.choice(readers)
            reader.poll()
            state = told(reader)
            assert state is None or n - 1 <= state <= n
            seen.add(state)

    writer.disk.calls = Counted(at)
    for n in range(2, 700):
        writer.state(n).publish()
    assert len(seen) > 200


def test_the_lock_goes_with_its_holder(tmp_path):
    disk = Disk(tmp_path)
    disk.prepare()
    first = FolderLock(disk, "n0", 10)
    first.release()
    assert FolderLock(disk, "n1", 5).fence == 11
