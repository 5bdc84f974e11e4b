"""When a data centre's directory is published, and when it is read.

Readers of the store compete for a lease; its holder publishes the addresses
of a few live balancers. A starting daemon whose seeds are silent reads the
store once.
"""

import math
import random

import attrs

from godwitturn.core import addresses
from godwitturn.core import configuration as configurations
from godwitturn.core import membership as memberships
from godwitturn.core import rendezvous

ENTRIES = 4
WRITE_SECONDS = 10.0
# Long, so that two readers in each data centre cost few calls at rest.
LEASE_TTL_SECONDS = 30
RENEW_INTERVAL_SECONDS = 10.0
# Seeds that are silent for so long have probably been replaced.
SEED_SECONDS = 3.0
READ_ATTEMPTS = 5
FIRST_RETRY_SECONDS = 1.0


def live_entries(
    membership: memberships.Membership,
    data_centre: str,
    own_address: addresses.Address,
) -> tuple[configurations.DirectoryEntry, ...]:
    """Returns the entries for the live balancers of a data centre.

    The choice by rendezvous changes only when one of the chosen does.

    Args:
        membership: The announcements.
        data_centre: The data centre.
        own_address: Control address of this daemon, which is live.
    """
    live = [
        member_id
        for member_id in {*membership.live_balancers, membership.own_id}
        if member_id in membership.approved
        and membership.approved[member_id].data_centre == data_centre
    ]
    found = []
    for member_id in rendezvous.rank_members("directory", live)[:ENTRIES]:
        announcement = membership.announcement_by_id.get(member_id)
        address = announcement.address if announcement else own_address
        member = membership.approved[member_id]
        found.append(configurations.DirectoryEntry(member, *address))
    return tuple(sorted(found, key=lambda entry: entry.member.member_id))


@attrs.define
class Publisher:
    """Decides when the holder of the lease writes."""

    _next_write_at: float = -math.inf

    def directory_to_write(
        self,
        wanted: tuple[configurations.DirectoryEntry, ...],
        present: configurations.Directory | None,
        holder_revision: int,
        *,
        now: float,
    ) -> configurations.Directory | None:
        """Returns the directory to write now, if any.

        A failed write counts for the rate as well.

        Args:
            wanted: What the directory shall hold.
            present: What the configuration in force holds.
            holder_revision: Create revision of the lease key.
            now: Monotonic time in seconds.
        """
        if not wanted or now < self._next_write_at:
            return None
        if present is not None and wanted == present.entries:
            return None
        self._next_write_at = now + WRITE_SECONDS
        return configurations.Directory(wanted, holder_revision)


def should_read_directories(
    *, bootstrapping: bool, running_s: float, silence_s: float
) -> bool:
    """Returns whether a starting agent has to look for other balancers.

    Args:
        bootstrapping: Whether it has no complete configuration yet.
        running_s: Seconds since it started.
        silence_s: Seconds since a seed last sent something.
    """
    return bootstrapping and min(running_s, silence_s) >= SEED_SECONDS


def retry_delay_seconds(attempt: int, generator: random.Random) -> float:
    """Returns the wait after a failed read, with full jitter."""
    return generator.uniform(0.0, FIRST_RETRY_SECONDS * 2**attempt)
