"""Transparent forwarding: packets pass unchanged between clients and targets.

A flow is told apart by its addresses and ports. Balancers keep a cache of
where flows are; the agent beside a target is the authority on its flows.
"""
