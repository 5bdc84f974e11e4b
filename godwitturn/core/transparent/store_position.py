"""Order of the states of the platform's store.

Revisions order the changes of the store until it is restored from a backup.
Then changes are lost, and their revisions are given out again, so a higher
revision may be older. Each restore begins a new era. Everything that has to
tell older from newer states of the store compares positions.
"""

import attrs


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


# Before anything has been read from the store.
UNREAD = StorePosition()
