"""Wire formats between callers, balancers, agents and daemons."""
