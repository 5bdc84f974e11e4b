"""Adapter to the platform: its names, formats and calls.

It converts them to and from the types of the core, which makes all decisions.
"""
