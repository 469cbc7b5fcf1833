"""Encoding of decisions about tables as messages of streams: what the messages mean, and what they cost.

The cost in lines is the one that the simulator charges.
"""

import zlib
from dataclasses import replace

from cranecleat.policy import Planner
from planner_harness import BOOTSTRAP, SECOND, StreamsHarness, assert_matches_trace, message_cost


def with_bound_proxies(count=2):
    """A harness with one table for each of two routes, a level for each route, and proxies bound to both tables."""
    harness = StreamsHarness()
    for table in (0, 1):
        for b in (0, 1, 2):
            harness.streams.set_weight(table, b, 1.0 + b / 4)
    harness.streams.set_admission(None, (0,), 1.0, 1)
    harness.streams.set_admission(None, (1,), 0.8, 1)
    harness.flush()
    for proxy in range(count):
        harness.join(proxy)
        harness.streams.bind(proxy, 0, (0,))
        harness.streams.bind(proxy, 1, (1,))
    harness.streams.request_ack(1)
    harness.flush()
    return harness


def test_a_binding_sends_the_whole_table_and_a_change_goes_to_the_tables_users_only():
    harness = with_bound_proxies()
    harness.join(2)
    harness.comment("weights of table 1 change; proxy 2 is bound to no table")
    harness.streams.set_weight(1, 0, 0.5)
    harness.streams.set_weight(1, 2, 0.0)
    harness.streams.request_ack(2)
    harness.flush()
    harness.comment(
        "proxy 2 is bound to table 1 with both routes, then to table 0 with one; a removed weight is not sent to it"
    )
    harness.streams.bind(2, 1, (0, 1))
    harness.flush()
    harness.streams.bind(2, 0, (0,))
    harness.streams.set_weight(1, 3, 2.0)
    harness.streams.request_ack(3)
    harness.flush()
    assert_matches_trace("orders_tables", harness.trace)


def test_a_level_for_all_tables_also_applies_to_proxies_that_join_later():
    harness = with_bound_proxies(1)
    harness.join(7)
    harness.streams.set_admission(None, (0, 1), 0.25, 1)
    harness.streams.request_ack(2)
    harness.flush()
    harness.comment("proxy 8 gets the level with its table")
    harness.join(8)
    harness.streams.bind(8, 0, (0,))
    harness.streams.request_ack(3)
    harness.flush()
    harness.comment("a level of one table: the lower one applies, with the table's tries")
    harness.streams.set_admission(0, (0,), 0.5, 0)
    harness.flush()
    harness.streams.set_admission(0, (0,), 0.125, 0)
    harness.flush()
    assert_matches_trace("orders_levels", harness.trace)


def test_withdrawals_and_reinstatements():
    harness = with_bound_proxies(1)
    harness.join(7)
    harness.comment("1 is withdrawn, also from proxy 7, whose weights are not known; 3 is in no table of proxy 0")
    harness.streams.withdraw(1, True)
    harness.streams.withdraw(3, True)
    harness.streams.request_ack(2)
    harness.flush()
    harness.comment("3 gets a weight while it is withdrawn")
    harness.streams.set_weight(0, 3, 1.0)
    harness.flush()
    harness.comment("a reinstatement and a withdrawal in one round send nothing")
    harness.streams.withdraw(1, False)
    harness.streams.withdraw(1, True)
    harness.flush()
    harness.comment("both are reinstated")
    harness.streams.withdraw(1, False)
    harness.streams.withdraw(3, False)
    harness.flush()
    assert_matches_trace("orders_withdrawals", harness.trace)


def test_an_inherited_withdrawal_is_reinstated_when_the_proxy_is_bound():
    harness = with_bound_proxies(1)
    harness.list_backends("held", [(b, "running", 0, 0, 1.0, 90 * SECOND * (b == 3)) for b in range(4)])
    harness.list_backends("changes", [(1, "gone", 0, 0, 1.0, 0)])
    harness.streams.withdraw(1, True)
    harness.flush()
    harness.comment("its stream breaks and is opened again; meanwhile 1 is reinstated and 2 withdrawn")
    harness.list_backends("changes", [(1, "running", 0, 0, 1.0, 0), (2, "gone", 0, 0, 1.0, 0)])
    harness.streams.withdraw(1, False)
    harness.streams.withdraw(2, True)
    harness.streams.leave(0, harness.streams.joined[0].connection)
    assert harness.flush() == {}
    harness.comment(f"may hold {harness.join(0)}")
    harness.streams.bind(0, 0, (0,))
    harness.flush()
    harness.streams.bind(0, 1, (1,))
    harness.flush()
    harness.comment("3, which no table names, was restarted before the list that is held at the start, 0 was not")
    harness.comment(
        f"may hold {harness.join(5, uses_initial_table=False)}: from another coordinator, or from an earlier run"
    )
    harness.streams.bind(5, 0, (0, 1), is_subset=True)
    harness.flush()
    harness.comment("3 gets a weight in its table and is reinstated there")
    harness.streams.set_weight(0, 3, 1.0)
    harness.flush()
    assert_matches_trace("orders_brought", harness.trace)


def test_the_end_of_a_replaced_stream_is_ignored():
    harness = with_bound_proxies(1)
    replaced = harness.streams.joined[0].connection
    harness.join(0)
    assert not harness.streams.leave(0, replaced)
    assert harness.streams.leave(0, harness.streams.joined[0].connection) and not harness.streams.joined


def test_ack_numbers_of_an_earlier_run_or_never_sent_are_ignored():
    earlier, planner, harness = Planner(BOOTSTRAP, "first"), Planner(BOOTSTRAP, "second"), StreamsHarness(3)
    for one in (earlier, planner):
        writer = StreamsHarness(3).streams if one is earlier else harness.streams
        writer.join(1, object(), 20.0, True)
        one.round(
            100 * SECOND,
            [("backends_listed", "held", [(0, "running", 0, 0, 1.0, 0)]), ("proxy_joined", 1, 0, 20.0, True)],
            writer,
        )
        assert one.channel.queued_lines > 0
    before = planner.channel.queued_lines
    ack_numbers = [earlier.ack_number, planner.ack_number - 1, planner.ack_number + 1]
    planner.round(101 * SECOND, [("acknowledged", 1, number) for number in ack_numbers], harness.streams)
    assert planner.channel.queued_lines >= before
    planner.round(101 * SECOND, [("acknowledged", 1, planner.channel.unacknowledged[-1][0])], harness.streams)
    assert planner.channel.queued_lines == 0


class SimulatedProxy:
    """What a proxy holds after the messages that it was sent, decoded by PROTOCOL alone."""

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


def test_proxies_hold_what_was_decided_and_no_message_costs_more_than_was_counted():
    """A long random run: backends come and go, and streams break and return with other coordinators' withdrawals."""
    harness, draw = StreamsHarness(8), [zlib.crc32(f"life:{n}".encode()) for n in range(9000)]
    planner, now, proxies = Planner(BOOTSTRAP, 7), 100 * SECOND, {}
    state, written = dict.fromkeys(range(8), "running"), []
    events = harness.list_backends("held", [(b, "running", 0, 0, 1.0, 0) for b in state])
    for _ in range(600):
        now += SECOND // 4
        if draw[-1] % 3 == 0:
            b = draw.pop() % 8
            state[b] = {"running": "draining", "draining": "gone", "gone": "running"}[state[b]]
            started = now if state[b] == "running" else 0
            events += harness.list_backends("changes", [(b, state[b], 0, 0, 1.0, started)])
        if draw[-2] % 4 == 0:
            p, uses_initial_table = draw.pop() % 6, draw.pop() % 2 == 0
            proxies[p] = SimulatedProxy() if uses_initial_table or p not in proxies else proxies[p]
            if not uses_initial_table and draw.pop() % 2:
                proxies[p].withdrawn |= {f"s-{b}" for b in (1, 2, 5)}  # by another coordinator
            events.append(harness.join_event(p, 0, 20.0, uses_initial_table))
        elif draw[-3] % 4 == 0 and proxies:
            p = draw.pop() % 6
            if p in harness.streams.joined:
                harness.streams.leave(p, harness.streams.joined[p].connection)
                events.append(("proxy_left", p))
        draw.pop()
        answer_time = 100_000 if draw.pop() % 3 else 900_000
        events += [
            ("attempts_reported", b, 0, 20, 0, answer_time, SECOND // 4, None) for b in state if state[b] == "running"
        ]
        events += [("demand_reported", p, r, 10, SECOND // 4) for p in harness.streams.joined for r in (0, 1)]
        planner.round(now, events, harness.streams)
        ack_number = harness.streams.ack_number
        unacknowledged = planner.channel.unacknowledged
        counted = dict(unacknowledged[-1][1]) if unacknowledged and unacknowledged[-1][0] == ack_number else {}
        events = []
        for p, message in harness.flush().items():
            proxies[p].apply(message)
            written.append((counted.get(p, 0.0), message_cost(message, BOOTSTRAP.message_overhead)))
            assert written[-1][1] <= written[-1][0], (p, message)
            events.append(("acknowledged", p, ack_number))
        for p, stream in harness.streams.joined.items():
            for route, table in stream.table_by_route.items():
                name = ("read", "find")[route]
                assert proxies[p].tables[name] == {
                    f"s-{b}": float(f"{w:.6g}") for b, w in harness.streams.tables.get(table, {}).items()
                }
                assert proxies[p].levels[name] == harness.streams.admissions[None, route]
            if len(stream.table_by_route) == 2:
                named = {*proxies[p].tables["read"], *proxies[p].tables["find"]}
                assert proxies[p].withdrawn & named == {f"s-{b}" for b in harness.streams.withdrawn} & named
    totals = [sum(column) for column in zip(*written, strict=True)]
    assert_matches_trace(
        "orders_cost", [f"{len(written)} messages: {totals[0]:.0f} lines counted, {totals[1]:.0f} written"]
    )


def test_what_a_proxy_knows_already_costs_nothing_and_does_not_delay_bindings():
    """Withdrawals are sent again for proxies that join later; a proxy that has them gets nothing to acknowledge."""
    harness, planner = StreamsHarness(12), Planner(replace(BOOTSTRAP, backlog=600, channel_lines_per_second=600.0), 7)
    events, now, queues = (
        harness.list_backends("held", [(b, "running", 0, 0, 1.0, 0) for b in range(12)]),
        100 * SECOND,
        [],
    )
    for step in range(28):
        if step == 1:
            events += harness.list_backends("changes", [(b, "gone", 0, 0, 1.0, 0) for b in range(8, 12)])
        joining = range(30) if step == 0 else [30 + step] if step < 12 else []
        events += [harness.join_event(p, 0, 20.0, True) for p in joining]
        planner.round(now, events, harness.streams)
        ack_number, sent = harness.streams.ack_number, harness.flush()
        unacknowledged = planner.channel.unacknowledged
        assert set(unacknowledged[-1][1] if unacknowledged and unacknowledged[-1][0] == ack_number else ()) <= set(sent)
        queues.append(round(planner.channel.queued_lines))
        events, now = [("acknowledged", p, ack_number) for p in sent], now + SECOND // 4
    bound = sum(bool(p.bound_tables) for p in planner.proxies.values())
    assert_matches_trace("orders_known", [f"lines that wait: {queues}", f"bound: {bound}"])
