"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides; each name is decoded once into the product's types.
"""
