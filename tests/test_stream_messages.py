"""Decisions about tables become messages of streams: meaning and cost as on the bench's wire."""

import zlib
from dataclasses import replace

from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, StreamsHarness, assert_matches_trace, message_cost


def laid(proxies=2):
    """Two tables, one a route, levels, and proxies on them."""
    harness = StreamsHarness()
    for table in (0, 1):
        for b in (0, 1, 2):
            harness.streams.set_weight(table, b, 1.0 + b / 4)
    harness.streams.set_admission(None, (0,), 1.0, 1)
    harness.streams.set_admission(None, (1,), 0.8, 1)
    harness.flush()
    for proxy in range(proxies):
        harness.join(proxy)
        harness.streams.bind(proxy, 0, (0,))
        harness.streams.bind(proxy, 1, (1,))
    harness.streams.request_ack(1)
    harness.flush()
    return harness


def test_a_binding_is_the_whole_table_with_its_level_and_a_change_goes_to_those_on_it():
    harness = laid()
    harness.join(2)
    harness.comment("lines of table 1 change; proxy 2 is on none")
    harness.streams.set_weight(1, 0, 0.5)
    harness.streams.set_weight(1, 2, 0.0)
    harness.streams.request_ack(2)
    harness.flush()
    harness.comment(
        "proxy 2 goes on table 1 with both routes, then with one on table 0; a line it has dropped is not in it"
    )
    harness.streams.bind(2, 1, (0, 1))
    harness.flush()
    harness.streams.bind(2, 0, (0,))
    harness.streams.set_weight(1, 3, 2.0)
    harness.streams.request_ack(3)
    harness.flush()
    assert_matches_trace("orders_tables", harness.trace)


def test_a_level_for_all_holds_for_who_joins_later():
    harness = laid(1)
    harness.join(7)
    harness.streams.set_admission(None, (0, 1), 0.25, 1)
    harness.streams.request_ack(2)
    harness.flush()
    harness.comment("proxy 8 hears of it with its table")
    harness.join(8)
    harness.streams.bind(8, 0, (0,))
    harness.streams.request_ack(3)
    harness.flush()
    harness.comment("a table's own level: the lower one holds, with the table's tries")
    harness.streams.set_admission(0, (0,), 0.5, 0)
    harness.flush()
    harness.streams.set_admission(0, (0,), 0.125, 0)
    harness.flush()
    assert_matches_trace("orders_levels", harness.trace)


def test_withdrawn_and_let_back():
    harness = laid(1)
    harness.join(7)
    harness.comment("1 is withdrawn: also from proxy 7, whose lines are not known; 3 is in no table of proxy 0")
    harness.streams.withdraw(1, True)
    harness.streams.withdraw(3, True)
    harness.streams.request_ack(2)
    harness.flush()
    harness.comment("3 gets a line while it is out")
    harness.streams.set_weight(0, 3, 1.0)
    harness.flush()
    harness.comment("out and in again in one round says nothing new")
    harness.streams.withdraw(1, False)
    harness.streams.withdraw(1, True)
    harness.flush()
    harness.comment("both are let back")
    harness.streams.withdraw(1, False)
    harness.streams.withdraw(3, False)
    harness.flush()
    assert_matches_trace("orders_withdrawals", harness.trace)


def test_what_a_proxy_brings_shut_out_is_let_back_when_it_is_bound():
    harness = laid(1)
    harness.streams.withdraw(1, True)
    harness.flush()
    harness.comment("its stream breaks and comes again; meanwhile 1 is back and 2 is out")
    harness.streams.withdraw(1, False)
    harness.streams.withdraw(2, True)
    harness.streams.leave(0, harness.streams.joined[0].connection)
    assert harness.flush() == {}
    harness.comment(f"may hold {harness.join(0)}")
    harness.streams.bind(0, 0, (0,))
    harness.flush()
    harness.streams.bind(0, 1, (1,))
    harness.flush()
    harness.comment("3, which no table names, has been restarted before the list that was held at the start, 0 has not")
    harness.streams.backends_listed("held", [(b, "running", 0, 0, 1.0, 90 * SECOND * (b == 3)) for b in range(4)])
    harness.streams.backends_listed("changes", [(b, "gone", 0, 0, 1.0, 0) for b in (1, 2)])
    harness.comment(f"may hold {harness.join(5, standing=False)}: it was another coordinator's, or an earlier life's")
    harness.streams.bind(5, 0, (0, 1), is_subset=True)
    harness.flush()
    harness.comment("3 comes into its table and is let back there")
    harness.streams.set_weight(0, 3, 1.0)
    harness.flush()
    assert_matches_trace("orders_brought", harness.trace)


def test_the_end_of_a_replaced_stream_means_nothing():
    harness = laid(1)
    old = harness.streams.joined[0].connection
    harness.join(0)
    assert not harness.streams.leave(0, old)
    assert harness.streams.leave(0, harness.streams.joined[0].connection) and not harness.streams.joined


def test_marks_of_an_earlier_life_and_marks_never_sent_free_nothing():
    earlier, planner, harness = Planner(BOOTSTRAP, "first"), Planner(BOOTSTRAP, "second"), StreamsHarness(3)
    for one in (earlier, planner):
        out = StreamsHarness(3).streams if one is earlier else harness.streams
        out.join(1, object(), 20.0, True)
        one.round(
            100 * SECOND,
            [("backends_listed", "held", [(0, "running", 0, 0, 1.0, 0)]), ("proxy_joined", 1, 0, 20.0, True)],
            out,
        )
        assert one.channel.queued_lines > 0
    before = planner.channel.queued_lines
    marks = [earlier.ack_number, planner.ack_number - 1, planner.ack_number + 1]
    planner.round(101 * SECOND, [("acknowledged", 1, mark) for mark in marks], harness.streams)
    assert planner.channel.queued_lines >= before
    planner.round(101 * SECOND, [("acknowledged", 1, planner.channel.unacknowledged[-1][0])], harness.streams)
    assert planner.channel.queued_lines == 0


class SimulatedProxy:
    """What a proxy holds after the messages that it was sent, by PROTOCOL alone."""

    def __init__(self):
        self.tables, self.levels, self.withdrawn = {"read": {}, "find": {}}, {}, set()

    def apply(self, message):
        *parts, last = message.removesuffix("\r\n").split("\r\n")
        assert all(part.endswith(" part=1") for part in parts) and not last.endswith(" part=1")
        for line in (*parts, last):
            words = dict(word.split("=") for word in line.split(" ")[1:])
            routes = words["for"].split("+") if "for" in words else list(self.tables)
            for route in routes:
                if "replace" in words:
                    self.tables[route] = {}
                    self.levels.pop(route, None)
                rows = [row.split(":") for row in words["rows"].split(",")] if "rows" in words else []
                self.tables[route].update((name, float(weight)) for name, weight in rows)
                self.tables[route] = {name: weight for name, weight in self.tables[route].items() if weight}
                if "gate" in words:
                    self.levels[route] = float(words["gate"]), int(words["again"])
            self.withdrawn.update(filter(None, words.get("drop", "").split(",")))
            self.withdrawn.difference_update(words.get("undrop", "").split(","))


def test_proxies_hold_what_was_decided_and_a_message_costs_what_the_planner_counted():
    """A long life by chance: backends come and go, streams break and come again, others' withdrawals with them."""
    harness, draw = StreamsHarness(8), [zlib.crc32(f"life:{n}".encode()) for n in range(9000)]
    planner, now, proxies = Planner(BOOTSTRAP, 7), 100 * SECOND, {}
    state, written = dict.fromkeys(range(8), "running"), []
    calls = [("backends_listed", "held", [(b, "running", 0, 0, 1.0, 0) for b in state])]
    for _ in range(600):
        now += SECOND // 4
        if draw[-1] % 3 == 0:
            b = draw.pop() % 8
            state[b] = {"running": "draining", "draining": "gone", "gone": "running"}[state[b]]
            calls.append(
                ("backends_listed", "changes", [(b, state[b], 0, 0, 1.0, now if state[b] == "running" else 0)])
            )
            harness.streams.backends_listed(*calls[-1][1:])
        if draw[-2] % 4 == 0:
            p, standing = draw.pop() % 6, draw.pop() % 2 == 0
            proxies[p] = SimulatedProxy() if standing or p not in proxies else proxies[p]
            if not standing and draw.pop() % 2:
                proxies[p].withdrawn |= {f"s-{b}" for b in (1, 2, 5)}  # another coordinator's
            brought = harness.join(p, standing)
            calls.append(("proxy_joined", p, 0, 20.0, standing, brought))
        elif draw[-3] % 4 == 0 and proxies:
            p = draw.pop() % 6
            if p in harness.streams.joined:
                harness.streams.leave(p, harness.streams.joined[p].connection)
                calls.append(("proxy_left", p))
        draw.pop()
        took = 100_000 if draw.pop() % 3 else 900_000
        calls += [("attempts_reported", b, 0, 20, 0, took, SECOND // 4, None) for b in state if state[b] == "running"]
        calls += [("demand_reported", p, r, 10, SECOND // 4) for p in harness.streams.joined for r in (0, 1)]
        planner.round(now, calls, harness.streams)
        mark = harness.streams.ack_number
        owed = planner.channel.unacknowledged
        counted = dict(owed[-1][1]) if owed and owed[-1][0] == mark else {}
        calls = []
        for p, message in harness.flush().items():
            proxies[p].apply(message)
            written.append((counted.get(p, 0.0), message_cost(message, BOOTSTRAP.message_overhead)))
            assert written[-1][1] <= written[-1][0], (p, message)
            calls.append(("acknowledged", p, mark))
        for p, stream in harness.streams.joined.items():
            for route, table in stream.bound.items():
                name = ("read", "find")[route]
                assert proxies[p].tables[name] == {
                    f"s-{b}": float(f"{w:.6g}") for b, w in harness.streams.tables.get(table, {}).items()
                }
                assert proxies[p].levels[name] == harness.streams.levels[None, route]
            if len(stream.bound) == 2:
                held = {*proxies[p].tables["read"], *proxies[p].tables["find"]}
                assert proxies[p].withdrawn & held == {f"s-{b}" for b in harness.streams.withdrawn} & held
    total = [sum(column) for column in zip(*written, strict=True)]
    assert_matches_trace(
        "orders_cost", [f"{len(written)} messages: {total[0]:.0f} lines counted, {total[1]:.0f} written"]
    )


def test_what_a_proxy_knows_already_costs_nothing_and_bindings_are_not_kept_waiting():
    """Others that come have the withdrawals said again; those who have heard them acknowledge nothing."""
    harness, planner = StreamsHarness(12), Planner(replace(BOOTSTRAP, backlog=600, channel_lines_per_second=600.0), 7)
    calls, now, queues = (
        [("backends_listed", "held", [(b, "running", 0, 0, 1.0, 0) for b in range(12)])],
        100 * SECOND,
        [],
    )
    for turn in range(28):
        if turn == 1:
            calls.append(("backends_listed", "changes", [(b, "gone", 0, 0, 1.0, 0) for b in range(8, 12)]))
        come = range(30) if turn == 0 else [30 + turn] if turn < 12 else []
        calls += [("proxy_joined", p, 0, 20.0, True, harness.join(p)) for p in come]
        planner.round(now, calls, harness.streams)
        mark, sent = harness.streams.ack_number, harness.flush()
        owed = planner.channel.unacknowledged
        assert set(owed[-1][1] if owed and owed[-1][0] == mark else ()) <= set(sent)
        queues.append(round(planner.channel.queued_lines))
        calls, now = [("acknowledged", p, mark) for p in sent], now + SECOND // 4
    bound = sum(bool(p.bound_tables) for p in planner.proxies.values())
    assert_matches_trace("orders_known", [f"lines that wait: {queues}", f"bound: {bound}"])
