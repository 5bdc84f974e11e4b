"""Addresses of sockets."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port, as the tuple that sockets expect."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
