"""Adapter to the platform.

The adapter converts the platform's names, formats and calls to and from the
types of the core, which makes all decisions.
"""
