"""Randomized soak test of the programs that forward packets unchanged.

Balancers and agents run as processes on loopback addresses. Faults are
injected from outside: signals, a proxy in front of the store, targets that
crash, drain or restart, and changes by operators. Guarantees are checked
against the events that clients and targets record.
"""
