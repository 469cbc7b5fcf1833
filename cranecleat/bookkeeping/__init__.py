"""State that the planner keeps up to date event by event, instead of summing it anew over all proxies in each round.

The modules make no decisions and hold no tuned values. `demand` keeps calls per second by route and zone, with
newcomers counted separately. `users` keeps which proxies are bound to which table and which still wait for one. Both
are compared with plain sums in tests/test_bookkeeping.py.
"""
