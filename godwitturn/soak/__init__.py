"""Randomized soak of the programs that forward packets unchanged.

Real balancers and agents run as processes on loopback addresses. Faults come
from outside them: signals, a store behind a proxy, targets that crash, drain
or start anew, changes by operators. The promises are checked from what
clients and targets see.
"""
