"""The routing table of a balancer, rebuilt on each change."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import functools
import ipaddress

import attrs

from godwitturn.core import addresses
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership


class ConflictKind(enum.StrEnum):
    """Why a listed target is not eligible or not in the table.

    The values are written to the log.
    """

    SERVICE = "the service is not configured or shares its service id"
    KEY = "one public key is listed in two services"
    ID = "the member id is not the digest of the public key"
    ADDRESS = "a later start announced the same address"
    APART = "the VM holds a target of a service that stays apart"


@attrs.frozen
class Conflict:
    """A mistake in the configuration or the announcements of one target."""

    kind: ConflictKind
    member_id: identity.MemberId


@attrs.define
class Target:
    """One approved target.

    Attributes:
        member_id: Member id of the target.
        service_id: Number of its service.
        data_centre: The data centre that it runs in.
        address: Its agent's data address, or None if it is not announced,
            conflicts with that of another target or was reported as wrong.
        pair_key: MAC key shared by this balancer and the agent, 32 bytes.
        weight: Share of new flows relative to other targets.
        draining: Whether it refuses new flows.
        lost: Whether its watchers declared it lost.
        data_centre_out: Whether operators took its data centre out.
        shares_vm: Whether it runs on the VM of a target of another service
            that has to stay apart from its own.
        announcement_order: Start number and sequence of its last
            announcement.
    """

    member_id: identity.MemberId
    service_id: int
    data_centre: str
    address: addresses.Address | None
    pair_key: bytes = attrs.field(repr=False)
    weight: float = 1.0
    draining: bool = False
    lost: bool = False
    data_centre_out: bool = False
    shares_vm: bool = False
    announcement_order: tuple[int, int] = (0, 0)

    @property
    def eligible(self) -> bool:
        """Whether new flows may be opened at the target."""
        return not (
            self.data_centre_out
            or self.lost
            or self.draining
            or self.shares_vm
            or self.address is None
        )


@attrs.frozen
class RoutingTable:
    """All approved targets under one configuration version.

    Attributes:
        version: Configuration version that the table was built from.
        target_by_id: Every approved target, eligible or not.
        eligible_by_service: Targets that accept new flows, by service id.
        return_seconds: Seconds over which the placement weight of a data
            centre that came back rises.
        conflicts: Mistakes in the configuration or the announcements that
            made targets ineligible, for the log.
        own_data_centre_out: Whether operators took the data centre of the
            balancer itself out.
        balancer_count: Number of serving balancers, at least 1.
    """

    version: int
    target_by_id: Mapping[identity.MemberId, Target]
    eligible_by_service: Mapping[int, tuple[Target, ...]]
    return_seconds: float = 30.0
    conflicts: tuple[Conflict, ...] = ()
    own_data_centre_out: bool = False
    balancer_count: int = 1

    @classmethod
    def from_targets(
        cls,
        version: int,
        targets: list[Target],
        return_seconds: float = 30.0,
        conflicts: tuple[Conflict, ...] = (),
        own_data_centre_out: bool = False,
        balancer_count: int = 1,
    ) -> "RoutingTable":
        """Returns a table of the given targets."""
        eligible: dict[int, list[Target]] = {}
        for target in targets:
            if target.eligible:
                eligible.setdefault(target.service_id, []).append(target)
        return cls(
            version,
            {target.member_id: target for target in targets},
            {
                service: tuple(eligible_targets)
                for service, eligible_targets in eligible.items()
            },
            return_seconds,
            conflicts,
            own_data_centre_out,
            balancer_count,
        )


EMPTY_TABLE = RoutingTable(0, {}, {})


def _distinct_services(
    service_by_name: Mapping[str, documents.Service],
) -> dict[str, int]:
    names_by_id: dict[int, list[str]] = {}
    for name, service in service_by_name.items():
        names_by_id.setdefault(service.service_id, []).append(name)
    return {
        names[0]: service_id
        for service_id, names in names_by_id.items()
        if len(names) == 1
    }


def _merge_entries(entries: list[documents.Member]) -> documents.Member:
    """Merges the entries of a member that is listed more than once."""
    return attrs.evolve(
        min(entries, key=repr),
        departed=any(entry.departed for entry in entries),
        draining=any(entry.draining for entry in entries),
    )


def _listed_targets(
    members: Iterable[documents.Member],
    service_id_by_name: Mapping[str, int],
    conflicts: list[Conflict],
) -> dict[identity.MemberId, documents.Member]:
    entries_by_id: dict[identity.MemberId, list[documents.Member]] = {}
    for member in members:
        if member.kind == documents.MemberKind.TARGET:
            entries_by_id.setdefault(member.member_id, []).append(member)
    listed = {}
    for member_id, entries in sorted(entries_by_id.items()):
        merged = entries[0] if len(entries) == 1 else _merge_entries(entries)
        if merged.departed:
            continue
        if any(entry.service != merged.service for entry in entries):
            conflicts.append(Conflict(ConflictKind.KEY, member_id))
        elif member_id != identity.member_id_of(merged.public_key):
            conflicts.append(Conflict(ConflictKind.ID, member_id))
        elif merged.service not in service_id_by_name:
            conflicts.append(Conflict(ConflictKind.SERVICE, member_id))
        else:
            listed[member_id] = merged
    return listed


def _is_lost(announcement: membership.Announcement) -> bool:
    return announcement.state == membership.MemberState.LOST


def _is_draining(announcement: membership.Announcement | None) -> bool:
    return (
        announcement is not None
        and announcement.state == membership.MemberState.DRAINING
    )


def _owned_addresses(
    listed: Mapping[identity.MemberId, documents.Member],
    announcement_by_id: Mapping[identity.MemberId, membership.Announcement],
    conflicts: list[Conflict],
) -> dict[identity.MemberId, addresses.Address]:
    claims: dict[tuple[object, int], list[tuple[int, int]]] = {}
    owned = {}
    for member_id in listed:
        announcement = announcement_by_id.get(member_id)
        if announcement is None:
            continue
        owned[member_id] = announcement.address
        if not _is_lost(announcement):
            endpoint = (
                ip_number(announcement.address.host),
                announcement.address.port,
            )
            claims.setdefault(endpoint, []).append(
                (announcement.start_number, member_id)
            )
    for claimants in claims.values():
        latest = max(start for start, _ in claimants)
        tied = sum(start == latest for start, _ in claimants) > 1
        for start, member_id in claimants:
            if start < latest or tied:
                conflicts.append(Conflict(ConflictKind.ADDRESS, member_id))
                del owned[member_id]
    return owned


@functools.lru_cache(maxsize=8192)
def ip_number(host: str) -> object:
    """Returns the same value for all spellings of an IP address.

    An IPv4-mapped IPv6 address equals its IPv4 address. A host that is no IP
    address is returned unchanged.
    """
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        return host
    return getattr(number, "ipv4_mapped", None) or number


def _sharing_vm(
    listed: Mapping[identity.MemberId, documents.Member],
    announcement_by_id: Mapping[identity.MemberId, membership.Announcement],
    rules: documents.Rules,
    conflicts: list[Conflict],
) -> set[identity.MemberId]:
    apart = {frozenset(pair) for pair in rules.apart}
    targets_by_start = sorted(
        (
            announcement.start_number,
            member_id,
            ip_number(announcement.address.host),
        )
        for member_id in listed
        if (announcement := announcement_by_id.get(member_id))
        and not _is_lost(announcement)
    )
    services_by_vm: dict[object, set[str]] = {}
    sharing = set()
    for _, member_id, vm in targets_by_start:
        service = listed[member_id].service
        vm_services = services_by_vm.setdefault(vm, set())
        if any(frozenset((service, other)) in apart for other in vm_services):
            sharing.add(member_id)
            conflicts.append(Conflict(ConflictKind.APART, member_id))
        else:
            vm_services.add(service)
    return sharing


def build_table(
    *,
    version: int,
    rules: documents.Rules,
    service_by_name: Mapping[str, documents.Service],
    members: Iterable[documents.Member],
    announcement_by_id: Mapping[identity.MemberId, membership.Announcement],
    pair_key_by_id: Mapping[identity.MemberId, bytes],
    own_data_centre: str = "",
    balancer_count: int = 1,
) -> RoutingTable:
    """Builds the routing table of one balancer.

    The result depends only on the arguments, not on their order, so all
    balancers with the same configuration and announcements agree.

    - Departed members and members without a pair key are excluded.
    - A public key that is listed in two services is excluded from both,
      since its member id would otherwise be valid in both.
    - Two services with the same service id are both excluded, since packets
      identify services by that id alone.
    - If several members announce the same address, the one with the latest
      start number gets it, since it must have replaced the others. With equal
      start numbers none gets it. Lost members are ignored.
    - If targets of services that have to stay apart run on one VM, the one
      with the earliest start number stays eligible; with equal start numbers,
      the one with the lowest member id. Lost members are ignored. Draining
      ones count, since they still run there.

    Args:
        version: Configuration version of the documents.
        rules: Rules of the deployment.
        service_by_name: All services.
        members: Members approved by every team; balancers are ignored.
        announcement_by_id: The last announcement of each member.
        pair_key_by_id: MAC keys that this balancer shares with members.
        own_data_centre: The data centre of this balancer.
        balancer_count: Number of serving balancers.
    """
    conflicts: list[Conflict] = []
    service_id_by_name = _distinct_services(service_by_name)
    listed = _listed_targets(members, service_id_by_name, conflicts)
    address_by_id = _owned_addresses(listed, announcement_by_id, conflicts)
    sharing = _sharing_vm(listed, announcement_by_id, rules, conflicts)
    targets = []
    for member_id, member in sorted(listed.items()):
        pair_key = pair_key_by_id.get(member_id)
        if pair_key is None:
            continue
        announcement = announcement_by_id.get(member_id)
        targets.append(
            Target(
                member_id,
                service_id_by_name[member.service],
                member.data_centre,
                address_by_id.get(member_id),
                pair_key,
                member.weight,
                member.draining or _is_draining(announcement),
                announcement is not None and _is_lost(announcement),
                member.data_centre in rules.out,
                member_id in sharing,
                (announcement.start_number, announcement.sequence)
                if announcement
                else (0, 0),
            )
        )
    return RoutingTable.from_targets(
        version,
        targets,
        rules.return_seconds,
        tuple(conflicts),
        own_data_centre in rules.out,
        balancer_count,
    )
