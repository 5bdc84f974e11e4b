"""Random numbers, from the operating system.

The `random` module takes milliseconds to import, which delays daemons that
restart under load.
"""

import os

_NUMBER_BYTES = 6
_RANGE = 1 << (8 * _NUMBER_BYTES)


def random_integer() -> int:
    """Returns a random number of 48 bits."""
    return int.from_bytes(os.urandom(_NUMBER_BYTES), "big")


def random_fraction() -> float:
    """Returns a uniformly distributed number from 0 to 1, 1 excluded."""
    return random_integer() / _RANGE
