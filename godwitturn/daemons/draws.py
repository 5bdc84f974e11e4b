"""Random numbers, from the operating system.

The `random` module takes milliseconds to import, which daemons that restart
under load don't have.
"""

import os

_NUMBER_BYTES = 6
_RANGE = 1 << (8 * _NUMBER_BYTES)


def number() -> int:
    """Returns a random number of 48 bits."""
    return int.from_bytes(os.urandom(_NUMBER_BYTES), "big")


def draw() -> float:
    """Returns a number drawn evenly from 0 to 1, 1 excluded."""
    return number() / _RANGE
