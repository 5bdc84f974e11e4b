"""Transparent forwarding: packets pass unchanged between clients and targets.

A flow is identified by its addresses and ports. Balancers cache which agent
each flow belongs to; the agent beside a target is the authority on its flows.
"""
