"""Rules for publishing and reading the directory of a data centre.

Readers of the store compete for a lease; its holder publishes the addresses
of a few live balancers. A starting agent that receives nothing from its seeds
reads the directories once.
"""

import math
import random

import attrs

from godwitturn.core import addresses
from godwitturn.core import configuration as configurations
from godwitturn.core import membership as memberships
from godwitturn.core import rendezvous

MAX_ENTRIES = 4
WRITE_INTERVAL_SECONDS = 10.0
# TTL of the lease of the publisher. It is long, so that the two readers in
# each data centre make few calls while nothing changes.
LEASE_TTL_SECONDS = 30
RENEW_INTERVAL_SECONDS = 10.0
# Seeds that have sent nothing for this long have probably been replaced.
SEED_SILENCE_SECONDS = 3.0
READ_ATTEMPTS = 5
FIRST_RETRY_SECONDS = 1.0


def live_entries(
    membership: memberships.Membership,
    data_centre: str,
    own_address: addresses.Address,
) -> tuple[configurations.DirectoryEntry, ...]:
    """Returns the entries for some live balancers of a data centre.

    Rendezvous hashing keeps the choice stable: it only changes when one of
    the chosen balancers leaves or a new one ranks among them.

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
    entries = []
    for member_id in rendezvous.rank_members("directory", live)[:MAX_ENTRIES]:
        announcement = membership.announcement_by_id.get(member_id)
        address = announcement.address if announcement else own_address
        member = membership.approved[member_id]
        entries.append(configurations.DirectoryEntry(member, *address))
    return tuple(sorted(entries, key=lambda entry: entry.member.member_id))


@attrs.define
class Publisher:
    """Decides when the holder of the lease writes the directory."""

    _next_write_at: float = -math.inf

    def directory_to_write(
        self,
        wanted: tuple[configurations.DirectoryEntry, ...],
        current: configurations.Directory | None,
        holder_revision: int,
        *,
        now: float,
    ) -> configurations.Directory | None:
        """Returns the directory to write now, if any.

        The rate limit counts failed writes as well.

        Args:
            wanted: The entries that the directory should have.
            current: The directory in the configuration in force.
            holder_revision: Create revision of the lease key.
            now: Monotonic time in seconds.
        """
        if not wanted or now < self._next_write_at:
            return None
        if current is not None and wanted == current.entries:
            return None
        self._next_write_at = now + WRITE_INTERVAL_SECONDS
        return configurations.Directory(wanted, holder_revision)


def should_read_directories(
    *, bootstrapping: bool, running_s: float, silence_s: float
) -> bool:
    """Returns whether a starting agent should read the directories.

    Args:
        bootstrapping: Whether it has no complete configuration yet.
        running_s: Seconds since it started.
        silence_s: Seconds since a seed last sent something.
    """
    return bootstrapping and min(running_s, silence_s) >= SEED_SILENCE_SECONDS


def retry_delay_seconds(attempt: int, generator: random.Random) -> float:
    """Returns the delay in seconds after a failed read, with full jitter.

    Args:
        attempt: Number of the failed attempt, from 0. The bound of the delay
            doubles with each attempt.
        generator: Source of the jitter.
    """
    return generator.uniform(0.0, FIRST_RETRY_SECONDS * 2**attempt)
