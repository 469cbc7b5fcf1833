"""cranecleat: a central planner for a layer of plain proxies."""
