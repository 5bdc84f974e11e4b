"""Order of the states of the platform's store.

Revisions order the changes of the store until it is restored from a backup.
Then changes are lost, and their revisions are given out again, so a higher
revision may be older. Each restore begins a new era. Everything that has to
tell older from newer states of the store compares positions.
"""

from typing import Self

import attrs

# Bits of a revision in `StorePosition.packed`.
REVISION_BITS = 48


@attrs.define(frozen=True, order=True, repr=False)
class StorePosition:
    """A state of the store. Later states are greater.

    Attributes:
        era: How often the store had been restored from a backup.
        revision: Number of the last change, which is comparable only within
            an era.
    """

    era: int = 0
    revision: int = 0

    @property
    def packed(self) -> int:
        """The position as one number of 64 bits, in the same order."""
        return self.era << REVISION_BITS | self.revision

    @classmethod
    def unpack(cls, packed: int) -> Self:
        """Returns the position of a packed number."""
        era = packed >> REVISION_BITS
        return cls(era, packed - (era << REVISION_BITS))


# Before anything has been read from the store.
UNREAD = StorePosition()
