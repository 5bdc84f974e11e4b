"""Reads and validates TOML settings."""
