"""State that the planner keeps up to date event by event, instead of summing it anew over all proxies in each round.

The modules make no decisions. `known` holds what is known of one backend and of one proxy. `layout` says which tables
exist. `channel` counts the lines that may still wait in the channel. `demand` keeps calls per second by route and,
separately, by zone; newcomers are also summed on their own. `users` keeps which proxies are bound to which table and
which still lack one. `demand` and `users` are compared with plain sums in tests/test_bookkeeping.py.
"""
