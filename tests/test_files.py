"""The files transport: format, publication step by step, readers, intake, and the choice of transport."""

import contextlib
import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecleat.decoding import IndexMap
from cranecleat.files import format as fmt
from cranecleat.files.choice import FILES, STREAM, STREAM_LOST_AFTER_US, STREAM_STABLE_AFTER_US, TransportSelector
from cranecleat.files.disk import Disk, FencedError, FolderHeldError, FolderLock, apply_step
from cranecleat.files.format import Body, Header, Orders, Tables, UnusableFileError
from cranecleat.files.intake import Intake
from cranecleat.files.ledger import MAX_RETRIES_PER_PROXY, Ledger
from cranecleat.files.recover import scan_folder
from cranecleat.files.view import View
from files_harness import (
    BAD_DISK,
    NO_SPACE,
    ROUTES,
    SECOND,
    CountedCalls,
    Killed,
    Writer,
    fail_at,
    follower,
    kill_at,
    report,
    state_in_force,
)
from planner_harness import assert_matches_trace

HEADER = Header(3, 1000, 7, 6)
any_name = st.text(st.characters(min_codepoint=1, max_codepoint=0x2FFF), max_size=12)


# The format


def test_text_of_each_kind_of_file():
    body, name_of_body = fmt.write_body(Body((("s-5be2a07c", 1.5), ("s odd/\u00e9", 0.2))))
    tables = Tables(
        HEADER, {0: name_of_body}, {(None, "read"): (0.9, 1), (0, "new-address"): (1.0, 1)}, frozenset({"s-77"})
    )
    orders = Orders(HEADER, 17, True, 7, {"read": 0}, (fmt.RetryOrder(50331649, "call 9", "refused"),))
    proxy_report = report(
        "p17",
        calls={"read": 12},
        attempts={"s-5be2a07c": (9, 1, 420)},
        load={"s-5be2a07c": (0.5, 9.0)},
        applied=(7, 7),
        typical_rate=21.5,
    )
    assert_matches_trace(
        "files_format",
        b"".join([body, fmt.write_tables(tables), fmt.write_orders(orders), fmt.write_report(proxy_report)])
        .decode()
        .rstrip("\n")
        .split("\n"),
    )


@given(st.lists(st.tuples(any_name, st.floats(0, 1e6)), unique_by=lambda e: e[0], max_size=6))
def test_any_name_survives_writing_and_reading(lines):
    body = Body(tuple((name, float(fmt.format_number(weight))) for name, weight in lines))
    data, name_of_body = fmt.write_body(body)
    assert fmt.read_body(data, name_of_body) == body
    tables = Tables(
        HEADER, {1: name_of_body}, {(None, name): (0.5, 1) for name, _ in lines}, frozenset(n for n, _ in lines)
    )
    assert fmt.read_tables(fmt.write_tables(tables)) == tables
    orders = Orders(HEADER, 1, False, 2, {name: 1 for name, _ in lines}, ())
    assert fmt.read_orders(fmt.write_orders(orders)) == orders


def samples():
    body, name_of_body = fmt.write_body(Body((("s-1", 1.5), ("s-2", 0.2))))
    return [
        (body, lambda data: fmt.read_body(data, name_of_body)),
        (
            fmt.write_tables(Tables(HEADER, {0: name_of_body}, {(None, "read"): (0.9, 1)}, frozenset({"s-7"}))),
            fmt.read_tables,
        ),
        (
            fmt.write_orders(Orders(HEADER, 3, True, 7, {"read": 0}, (fmt.RetryOrder(1, "c", "unsent"),))),
            fmt.read_orders,
        ),
        (fmt.write_report(report(calls={"read": 3}, attempts={"s-1": (2, 1, 7)})), fmt.read_report),
    ]


def test_a_file_truncated_at_any_byte_or_with_any_bit_flipped_is_refused():
    for data, read in samples():
        read(data)
        for cut in range(len(data)):
            with pytest.raises(UnusableFileError):
                read(data[:cut])
        for bit in range(8 * len(data)):
            with pytest.raises(UnusableFileError):
                read(data[: bit // 8] + bytes([data[bit // 8] ^ 1 << bit % 8]) + data[bit // 8 + 1 :])


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_unusable_file_error(data):
    for read in (fmt.read_tables, fmt.read_orders, fmt.read_report, lambda d: fmt.read_body(d, "0" * 32)):
        with pytest.raises(UnusableFileError):
            read(data)


def test_invalid_content_under_a_valid_checksum_is_explained():
    text, header = [], [f"{k} 1" for k in ("fence", "life", "generation", "after")]
    for kind, read, lines in (
        ("tables", fmt.read_tables, [*header, "table 0 zz"]),
        ("tables", fmt.read_tables, header[1:]),
        ("tables", fmt.read_tables, [*header, "out a b"]),
        ("tables", fmt.read_tables, [*header, "more 1"]),
        ("tables", fmt.read_tables, [*header, "level all read nan 1"]),
        ("orders", fmt.read_orders, [*header, "proxy 1", "active 2", "needs 1"]),
        ("orders", fmt.read_orders, [*header, "proxy -1", "active 1", "needs 1"]),
        ("orders", fmt.read_orders, [*header, "proxy 1", "active 1", "needs 1", "again 5 c maybe"]),
        (
            "orders",
            fmt.read_orders,
            [*header, "proxy 1", "active 1", "needs 1", "again 5 c refused", "again 4 c refused"],
        ),
        ("body", lambda d: fmt.read_body(d, fmt.hashlib.blake2b(d, digest_size=16).hexdigest()), ["s-1 x"]),
        ("orders", fmt.read_tables, header),
    ):
        with pytest.raises(UnusableFileError) as error:
            read(fmt.encode_file(kind, lines))
        text.append(f"{kind} {lines[-1]!r}: {error.value}")
    assert_matches_trace("files_wrong", text)


# Publication, step by step


def steps_of_one_publication(folder):
    """How many changing system calls a publication of a new state takes."""
    counted = CountedCalls()
    writer = Writer(folder, counted).join_proxies().set_state(1)
    writer.publish()
    before = counted.count
    writer.set_state(2).publish()
    writer.release()
    return counted.count - before


def test_a_writer_killed_between_any_two_steps_leaves_one_whole_state_and_its_successor_continues(tmp_path):
    total = steps_of_one_publication(tmp_path / "count")
    assert total > 20
    for k in range(1, total + 1):
        folder = tmp_path / str(k)
        counted = CountedCalls()
        writer = Writer(folder, counted).join_proxies().set_state(1)
        writer.publish()
        reader = follower(folder)
        reader.poll()
        assert state_in_force(reader) == 1
        calls_so_far = counted.count
        counted.before = kill_at(calls_so_far + k)
        with pytest.raises(Killed):
            writer.set_state(2).publish()
        writer.release()
        reader.poll()
        fresh = follower(folder)
        fresh.poll()
        assert state_in_force(reader) in (1, 2) and state_in_force(fresh) in (1, 2)
        after = Writer(folder, unix_time=2000)
        assert after.ledger.generation >= writer.found.generation and after.found.errors == []
        after.join_proxies().set_state(3).publish()
        for one in (reader, fresh):
            one.poll()
            assert state_in_force(one) == 3, (k, one.error)
        assert not [name for _, _, names in os.walk(folder) for name in names if name.endswith(".new")]
        after.release()


@pytest.mark.parametrize("code", [NO_SPACE, BAD_DISK])
def test_a_full_disk_or_a_failed_sync_at_any_step_keeps_the_last_state_until_publication_succeeds(tmp_path, code):
    total, failures = steps_of_one_publication(tmp_path / "count"), 0
    for k in range(1, total + 1):
        folder = tmp_path / str(k)
        counted = CountedCalls()
        writer = Writer(folder, counted).join_proxies().set_state(1)
        writer.publish()
        reader = follower(folder)
        reader.poll()
        counted.before = fail_at(counted.count + k, code)
        try:
            writer.set_state(2).publish()
        except OSError:
            failures += 1
            writer.ledger.publication_failed()
            reader.poll()
            assert state_in_force(reader) in (1, 2)
            seen = reader.view.seen
            counted.before = lambda n, name: None
            writer.publish()
            reader.poll()
            assert reader.view.seen > seen or reader.view.seen == seen and state_in_force(reader) == 2
        reader.poll()
        assert state_in_force(reader) == 2
        assert not scan_folder(writer.disk).errors
        writer.release()
    assert failures > total / 2


def test_files_replaced_twice_between_any_two_system_calls_of_a_reader(tmp_path):
    """In pass k, two states are published just before the k-th system call of a new reader's first poll. The passes end
    once a poll makes fewer than k calls."""
    writer = Writer(tmp_path, sync="none").join_proxies().set_state(1)
    writer.publish()
    state, k, ends = 1, 0, 0
    while True:
        k += 1
        published = []

        def publish_twice(n, name, k=k, published=published, state=state):
            if n == k:
                published.append(n)
                for _ in range(2):
                    published.append(writer.set_state(state + len(published)).publish())

        counted = CountedCalls(publish_twice, only=("open", "read", "fstat", "close"))
        reader = follower(tmp_path, system_calls=counted)
        reader.poll()
        assert state_in_force(reader) is None or state <= state_in_force(reader) <= state + 2, (k, reader.error)
        state += 2
        reader.disk.system_calls = CountedCalls()
        reader.poll()
        assert state_in_force(reader) == (state if published else state_in_force(reader))
        if not published:
            ends += 1
            break
        state = state_in_force(reader)
    assert k > 12 and ends


def test_a_second_writer_is_refused_and_a_fenced_one_stops(tmp_path):
    first = Writer(tmp_path).join_proxies().set_state(1)
    with pytest.raises(FolderHeldError, match="n0, fence 1000"):
        Writer(tmp_path, unix_time=2000)
    first.publish()
    os.close(first.lock.file)  # as if the second writer ran on another machine, where the lock has no effect
    second = Writer(tmp_path, unix_time=900).join_proxies().set_state(2)
    second.publish()
    reader = follower(tmp_path)
    reader.poll()
    assert state_in_force(reader) == 2 and second.lock.fence == 1001
    with pytest.raises(FencedError, match="fence 1001; ours is 1000"):
        first.set_state(3).publish()
    for step in first.ledger.steps():  # as if it had checked its lock just before it was fenced
        apply_step(first.disk, step)
    reader.poll()
    assert state_in_force(reader) == 2 and "but fence 1001 has been seen" in reader.error


def test_bodies_are_kept_while_a_reader_may_need_them_and_removed_after(tmp_path):
    writer = Writer(tmp_path).join_proxies().set_state(1)
    writer.publish()
    reader = follower(tmp_path)
    reader.poll()
    for n in range(2, 12):
        writer.set_state(n).publish()
    assert len(os.listdir(tmp_path / "bodies")) == 11
    reader.poll()
    for p in range(3):
        writer.ledger.acknowledge(p, *reader.view.in_force.applied, 0, 5)
    writer.set_state(12).publish()
    assert len(os.listdir(tmp_path / "bodies")) <= 2
    for n in range(13, 200):  # no proxy reports any more, and still only so many bodies are kept
        writer.set_state(n).publish()
    assert len(os.listdir(tmp_path / "bodies")) <= 66
    reader.poll()
    assert state_in_force(reader) == 199


def test_a_folder_of_an_earlier_life_is_taken_over_and_its_errors_are_reported(tmp_path):
    writer = Writer(tmp_path).join_proxies().set_state(1)
    writer.publish()
    writer.release()
    (tmp_path / "notes.txt").write_text("of a person")
    (tmp_path / "orders" / "1").write_bytes((tmp_path / "orders" / "1").read_bytes()[:-20])
    (tmp_path / "orders" / "2").unlink()
    (tmp_path / "orders" / "2").symlink_to("/etc/hostname")
    (tmp_path / "bodies" / ("0" * 32)).write_text("x")
    (tmp_path / "tables.new").write_text("half")
    after = Writer(tmp_path, unix_time=2000)
    assert after.lock.fence > writer.lock.fence and after.found.swept == 1
    assert after.found.foreign == ["notes.txt"]
    assert_matches_trace("files_earlier_life", [f"{path}: {error}" for path, error in sorted(after.found.errors)])
    after.join_proxies().set_state(4).publish()
    reader = follower(tmp_path, 1)
    reader.poll()
    assert state_in_force(reader) == 4


# Retry orders


def test_a_retry_order_is_acted_on_once_across_restarts_and_replaced_files(tmp_path):
    writer, state_file = Writer(tmp_path / "d").join_proxies().set_state(1), tmp_path / "kept"
    writer.publish()
    reader, acted, text = follower(tmp_path / "d", state_file=state_file), [], []

    def poll_and_note(who, what):
        found = who.poll()
        acted.extend(retry.call for retry in found)
        text.append(f"{what}: {[retry.call for retry in found] or 'nothing'}")

    poll_and_note(reader, "no order")
    first = writer.ledger.order_retry(0, "new-address 17", "refused")
    writer.publish()
    old = (tmp_path / "d" / "orders" / "0").read_bytes()
    poll_and_note(reader, "ordered")
    poll_and_note(reader, "polled again")
    writer.set_state(2).publish()
    poll_and_note(reader, "published anew, not yet acknowledged")
    reader = follower(tmp_path / "d", state_file=state_file)
    poll_and_note(reader, "reader started again")
    writer.ledger.acknowledge(0, *reader.view.in_force.applied, reader.view.last_retry, 5)
    writer.publish()
    poll_and_note(reader, "acknowledged")
    (tmp_path / "d" / "orders" / "0").write_bytes(old)
    poll_and_note(reader, "an older generation is put back")
    poll_and_note(follower(tmp_path / "d", state_file=state_file), "the same, seen by a reader that started again")
    writer.release()
    after = Writer(tmp_path / "d", unix_time=5000).join_proxies().set_state(3)
    second = after.ledger.order_retry(0, "new-address 18", "unsent")
    after.publish()
    poll_and_note(reader, "ordered by the writer's next life")
    (tmp_path / "d" / "orders" / "0").write_bytes(old)
    poll_and_note(reader, "a file of its earlier life is put back")
    assert acted == ["new-address 17", "new-address 18"] and second > first
    assert_matches_trace("files_again", text)


def test_a_reader_that_dies_before_it_acts_never_acts_twice(tmp_path):
    """The reader stores an order before it acts on it, so that a reader killed at either step retries a call once at
    most."""
    for k in range(1, 12):
        folder, state_file = tmp_path / f"d{k}", tmp_path / f"kept{k}"
        writer = Writer(folder).join_proxies().set_state(1)
        writer.ledger.order_retry(0, "c", "refused")
        writer.publish()
        reader, acted = follower(folder, state_file=state_file), []
        save = reader.store_retry

        def dying_save(retry, k=k, save=save):
            if k % 2:
                raise Killed
            save(retry)

        reader.store_retry = dying_save
        with contextlib.suppress(Killed):
            acted += reader.poll()
        acted += follower(folder, state_file=state_file).poll()
        acted += follower(folder, state_file=state_file).poll()
        assert len(acted) == 1
        writer.release()


def test_retry_orders_need_a_joined_proxy_and_are_limited():
    ledger = Ledger(IndexMap(), ROUTES, 1, 1)
    assert ledger.order_retry(0, "c", "refused") is None  # not joined
    ledger.join(0)
    numbers = [ledger.order_retry(0, f"c{i}", "refused") for i in range(MAX_RETRIES_PER_PROXY + 1)]
    assert numbers[-1] is None and numbers[:-1] == sorted(set(numbers[:-1]))


# Acknowledgements and lag


def test_acknowledgements_follow_what_is_in_force_and_lag_is_measured(tmp_path):
    writer, text = Writer(tmp_path, proxies=2).join_proxies(), []
    ledger = writer.ledger
    text.append(f"bound: ack 1 is requested of {sorted(ledger.request_ack(1))}")
    writer.publish()
    readers = [follower(tmp_path, p) for p in range(2)]
    for reader in readers:
        reader.poll()
    for p, reader in enumerate(readers):
        text.append(f"proxy {p} applies: acknowledges {ledger.acknowledge(p, *reader.view.in_force.applied, 0, 0)}")
    text.append("# backend 1 is withdrawn; proxy 1 stops reading for a minute")
    ledger.withdraw(1, True)
    text.append(f"ack 2 is requested of {sorted(ledger.request_ack(2))}")
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
        f"proxy 1 still reports the old generations: {stale}, "
        f"lag {[lag // SECOND for lag in ledger.lags(70 * SECOND).values()]} s"
    )
    readers[1].poll()
    assert "s-1" not in readers[1].view.pick_from("read")
    text.append(
        f"proxy 1 reads again: {ledger.acknowledge(1, *readers[1].view.in_force.applied, 0, 71 * SECOND)}, "
        f"lag {[lag // SECOND for lag in ledger.lags(71 * SECOND).values()]} s"
    )
    text.append(f"a proxy reports generations of another writer: {ledger.acknowledge(1, 10**9, 10**9, 0, 0)}")
    assert_matches_trace("files_marks", text)


def test_a_thousand_proxies_share_bodies_and_one_changed_weight_costs_one_body_and_the_tables(tmp_path):
    writer = Writer(tmp_path, proxies=1000, sync="none").join_proxies()
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


def test_a_missing_replaced_or_invalid_folder_leaves_the_last_state_in_force(tmp_path):
    folder, text = tmp_path / "d", []
    writer = Writer(folder).join_proxies().set_state(1)
    writer.publish()
    reader = follower(folder)

    def poll_and_note(what):
        reader.poll()
        text.append(f"{what}: state {state_in_force(reader)}" + (f" ({reader.error})" if reader.error else ""))

    poll_and_note("available")
    folder.rename(tmp_path / "away")
    poll_and_note("not available")
    writer.release()
    other = Writer(folder, unix_time=3000).join_proxies().set_state(5)
    other.publish()
    poll_and_note("replaced by another folder")
    data = (folder / "tables").read_bytes()
    (folder / "tables").write_bytes(data[:-3])
    poll_and_note("tables truncated")
    (folder / "tables").unlink()
    (folder / "tables").symlink_to("/etc/hostname")
    poll_and_note("tables are a link")
    (folder / "tables").unlink()
    poll_and_note("tables removed")
    other.set_state(6).publish()
    poll_and_note("published again")
    assert_matches_trace("files_reader", [line.replace(str(tmp_path), "") for line in text])


@settings(max_examples=200)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 6), st.integers(1, 6), st.integers(0, 6)), max_size=20))
def test_a_reader_never_goes_back(offers):
    view, last = View(0), (0, (0, 0))
    for fence, tables, orders, needs in offers:
        offered_tables = Tables(Header(fence, 1, tables, 0), {0: "x"}, {}, frozenset())
        offered_orders = Orders(Header(fence, 1, orders, 0), 0, True, needs, {"read": 0})
        try:
            view.offer(offered_orders, offered_tables, lambda name: Body((("s", 1.0),)))
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


# Reports


def new_intake():
    backend_names = IndexMap()
    backend_names("s-1")
    return Intake({"a": 0, "b": 1}, {"read": 0, "new-address": 1}, 5, backend_names, SECOND)


def test_reports_count_once_across_lives_and_silence():
    intake, text, now = new_intake(), [], 0

    def take(after, *values, **more):
        nonlocal now
        now += round(after * SECOND)
        text.append(f"{now / SECOND:5.2f}  {intake.process_report(now, report(*values, **more)) or 'nothing'}")

    take(0, "p3", calls={"read": 100}, typical_rate=7.0)
    take(0.5, "p3", beat=2, calls={"read": 105})
    take(0.6, "p3", beat=3, calls={"read": 111, "new-address": 4})
    take(0.1, "p3", beat=3, calls={"read": 111})
    take(0.1, "p3", beat=2, calls={"read": 105})
    text.append("# many reports were replaced before they were read")
    take(2.0, "p3", beat=40, calls={"read": 131, "new-address": 4})
    text.append("# a new life of the proxy")
    take(0.5, "p3", life=2, calls={"read": 2}, uses_initial_table=True)
    text.append("# a collector")
    take(0.2, "zb", zone="b", attempts={"s-1": (10, 2, 800), "s-unlisted": (5, 0, 9)})
    take(
        1.0, "zb", zone="b", beat=2, attempts={"s-1": (16, 3, 1300), "s-unlisted": (9, 0, 90)}, load={"s-1": (0.5, 6.0)}
    )
    now += 3 * SECOND
    text.append(f"{now / SECOND:5.2f}  silent: {intake.remove_silent_writers(now)}")
    text.append("# the coordinator's next life: the first report only sets the values to count from")
    intake = new_intake()
    take(0, "p3", life=2, beat=50, calls={"read": 90})
    take(1.0, "p3", life=2, beat=60, calls={"read": 95})
    assert_matches_trace("files_intake", text)


def test_impossible_reports_are_refused():
    intake, text = new_intake(), []
    intake.process_report(0, report("p1", calls={"read": 10}, attempts={"s-1": (5, 1, 100)}))
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
            ("p1", {"attempts": {"s-1": (4, 1, 100)}, "calls": {"read": 10}}),
            ("p1", {"attempts": {"s-1": (6, 5, 100)}, "calls": {"read": 10}}),
        )
    ):
        with pytest.raises(UnusableFileError) as error:
            intake.process_report(SECOND, report(who, beat=2 + n, **more))
        text.append(f"{who} {more}: {error.value}")
    assert intake.process_report(2 * SECOND, report("p1", beat=99, calls={"read": 13}))[0] == (
        "demand_reported",
        1,
        0,
        3,
        2 * SECOND,
    )
    assert_matches_trace("files_refused", text)


def test_a_clock_that_steps_back_counts_nothing_twice_and_ends_no_proxy():
    intake = new_intake()
    intake.process_report(100 * SECOND, report("p1", calls={"read": 1}))
    assert intake.process_report(10 * SECOND, report("p1", beat=2, calls={"read": 5})) == []
    assert intake.remove_silent_writers(10 * SECOND) == ([], [])
    assert intake.process_report(101 * SECOND, report("p1", beat=3, calls={"read": 9}))[0] == (
        "demand_reported",
        1,
        0,
        8,
        SECOND,
    )


# Choice of transport


def test_switching_to_files_and_back_has_hysteresis():
    selector, text, now = TransportSelector(), [], 0

    def step(after, kind=None, *values):
        nonlocal now
        now += round(after * SECOND)
        if kind:
            getattr(selector, f"record_{kind}")(now, 7, *values)
        for proxy, transport in selector.decide(now):
            text.append(f"{now / SECOND:6.2f}  proxy {proxy}: {transport}")

    step(0, "stream", True)
    step(0, "files", True)
    step(5, "stream", False)
    step(1.0)
    step(0.6)
    text.append("# the stream comes and goes: files keep serving")
    for _ in range(4):
        step(1.0, "stream", True)
        step(2.0, "stream", False)
    step(1, "stream", True)
    step(9)
    step(1.1)
    text.append("# both end")
    step(1, "files", False)
    step(1, "stream", False)
    step(1)
    assert selector.proxies == {}
    assert_matches_trace("files_choice", text)


@given(
    st.lists(st.tuples(st.sampled_from(["stream", "files"]), st.booleans(), st.integers(0, 12_000_000)), max_size=40)
)
def test_no_proxy_is_served_by_an_unavailable_transport_or_switched_back_too_soon(changes):
    selector, now, up, since = TransportSelector(), 0, {STREAM: False, FILES: False}, {STREAM: 0, FILES: 0}
    served = None
    for kind, is_up, later in changes:
        now += later
        selector.decide(now)
        getattr(selector, f"record_{kind}")(now, 1, is_up)
        if up[kind] != is_up or kind == "stream":
            up[kind], since[kind] = is_up, now
        for _, transport in selector.decide(now):
            if transport == STREAM and served == FILES and up[FILES]:
                assert now - since[STREAM] >= STREAM_STABLE_AFTER_US
            if transport == FILES:
                assert now - since[STREAM] >= STREAM_LOST_AFTER_US or not up[STREAM]
            served = transport
        served = selector.transport_of(1)
        assert served is None or up[served]


def test_random_publications_under_readers_show_no_mixture(tmp_path):
    """Hundreds of publications, with polls at random instants between their steps. `benchmarks/files.py` does the same
    with readers in processes of their own."""
    rng, n = random.Random(8), 1
    writer = Writer(tmp_path, sync="none", proxies=2).join_proxies().set_state(1)
    writer.publish()
    readers = [follower(tmp_path, p) for p in range(2)]
    seen = set()

    def poll_at_random(_, name):
        if rng.random() < 0.1:
            reader = rng.choice(readers)
            reader.poll()
            state = state_in_force(reader)
            assert state is None or n - 1 <= state <= n
            seen.add(state)

    writer.disk.system_calls = CountedCalls(poll_at_random)
    for n in range(2, 700):
        writer.set_state(n).publish()
    assert len(seen) > 200


def test_a_released_lock_can_be_taken_with_a_higher_fence(tmp_path):
    disk = Disk(tmp_path)
    disk.prepare()
    first = FolderLock(disk, "n0", 10)
    first.release()
    assert FolderLock(disk, "n1", 5).fence == 11
