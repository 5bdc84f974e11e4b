"""Which listed members every operating team has approved."""

from collections.abc import Mapping
import functools

import attrs
import msgspec
from nacl import exceptions
from nacl import signing

from godwitturn.core import actions
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import events
from godwitturn.core import identity

STATEMENT_TAG = "godwitturn-approval-1"
RENEWED_STATEMENT_TAG = "godwitturn-approval-2"
WITHDRAWAL_TAG = "godwitturn-withdrawal-1"
PUBLIC_KEY_BYTES = 32


def _facts(
    deployment: str, member: documents.Member
) -> tuple[str, int, str, str, str, bytes]:
    return (
        deployment,
        member.member_id,
        str(member.kind),
        member.service,
        member.data_centre,
        member.public_key,
    )


def approval_statement(
    deployment: str, member: documents.Member, sequence: int = 0
) -> bytes:
    """Returns the bytes that a team signs to approve a member.

    Args:
        deployment: Name of the deployment; an approval of one deployment is
            not valid in another.
        member: The member. Its weight and draining mark are not signed,
            since operators change them without a new approval.
        sequence: The approval's sequence. It is signed from 1 on, so that
            approvals without one stay valid.
    """
    facts = _facts(deployment, member)
    if sequence == 0:
        return msgspec.msgpack.encode((STATEMENT_TAG, *facts))
    return msgspec.msgpack.encode((RENEWED_STATEMENT_TAG, *facts, sequence))


def withdrawal_statement(
    deployment: str, member: documents.Member, team: str, sequence: int
) -> bytes:
    """Returns the bytes that a team signs to withdraw its approval.

    Args:
        deployment: Name of the deployment.
        member: The member.
        team: The team.
        sequence: The withdrawal's sequence.
    """
    facts = _facts(deployment, member)
    return msgspec.msgpack.encode((WITHDRAWAL_TAG, *facts, team, sequence))


def withdrawn_sequence(member: documents.Member, team: str) -> int:
    """Returns the sequence through which a team withdrew, -1 for none.

    Withdrawals count here whether or not their signature is valid: in doubt,
    a member carries no traffic.
    """
    return max(
        (
            max(found.sequence, 0)
            for found in member.withdrawals
            if found.team == team
        ),
        default=-1,
    )


def is_withdrawn(member: documents.Member, team: str) -> bool:
    """Returns whether a team withdrew and has not approved again.

    The signature of an approval that came later is not checked.
    """
    withdrawn = withdrawn_sequence(member, team)
    later = any(
        found.team == team and found.sequence > withdrawn
        for found in member.approvals
    )
    return withdrawn >= 0 and not later


@functools.lru_cache(maxsize=64)
def _verify_key(public_key: bytes) -> signing.VerifyKey:
    return signing.VerifyKey(public_key)


def signature_valid(
    signed: bytes, signature: bytes, public_key: bytes
) -> bool:
    """Returns whether an Ed25519 signature over some bytes is valid."""
    try:
        _verify_key(public_key).verify(signed, signature)
    except (exceptions.CryptoError, ValueError):
        return False
    return True


def listed_under_own_key(key: str, member: documents.Member) -> bool:
    """Returns whether a document's key matches a member's own fields."""
    if member.kind == documents.MemberKind.TARGET:
        return bool(member.service) and (
            key == configurations.MEMBERS_PREFIX + member.service
        )
    return member.service == "" and (
        key == configurations.BALANCERS_PREFIX + member.data_centre
    )


SignatureCache = dict[tuple[str, bytes, bytes], bool]


@attrs.define
class _ListResult:
    """What is known of one document: a revision's members and signatures."""

    document: configurations.VersionedDocument
    valid: tuple[documents.Member, ...]
    listed: tuple[identity.MemberId, ...]
    departed: frozenset[identity.MemberId]
    signatures: SignatureCache
    unverified: frozenset[tuple[identity.MemberId, str]]


@attrs.define
class ApprovalVerifier:
    """Finds the approved members of a configuration.

    Results are kept by document, and signatures by (team, statement,
    signature), so that a changed document costs only the verification of its
    new or changed members. Nothing is kept for replaced documents.

    Attributes:
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team, from settings. While it is
            empty, no member is approved.
        verifications: Signatures verified so far, without those cached.
        unverified: Member and team of each withdrawal without the team's
            valid signature, as of the last call of `approved`. It counts as
            withdrawn all the same.
    """

    deployment: str
    team_keys: Mapping[str, bytes]
    verifications: int = 0
    unverified: frozenset[tuple[identity.MemberId, str]] = frozenset()
    _reported: frozenset[tuple[identity.MemberId, str]] = frozenset()
    _result_by_key: dict[str, _ListResult] = attrs.field(factory=dict)

    def approved_members(
        self, configuration: configurations.Configuration
    ) -> dict[identity.MemberId, documents.Member]:
        """Returns the members that may carry traffic, by id."""
        results: dict[str, _ListResult] = {}
        for key, members in configuration.member_lists().items():
            document = configuration.document_by_key[key]
            known = self._result_by_key.get(key)
            if known is None or known.document != document:
                known = self._examine(document, members, known)
            results[key] = known
        self._result_by_key = results
        self.unverified = frozenset().union(
            *(result.unverified for result in results.values())
        )
        return _listed_once(list(results.values()))

    def report_unverified_withdrawals(self) -> list[actions.Emit]:
        """Returns log events of unverified withdrawals not reported yet."""
        found = sorted(self.unverified - self._reported)
        self._reported = self.unverified
        return [
            actions.Emit(
                events.LogEvent(
                    events.EventId.CONTROL_WITHDRAWAL_UNVERIFIED,
                    {"member": f"{member_id:016x}", "team": team},
                )
            )
            for member_id, team in found
        ]

    def is_approved_balancer(self, member: documents.Member) -> bool:
        """Returns whether a balancer's record holds every team's approval.

        A record may be older than a withdrawal or the balancer's departure,
        of which only a configuration tells.
        """
        key = configurations.BALANCERS_PREFIX + member.data_centre
        return (
            member.kind == documents.MemberKind.BALANCER
            and self._well_formed(key, member)
            and self._signed_by_all(member, {}, {})
        )

    def _examine(
        self,
        document: configurations.VersionedDocument,
        members: documents.MemberList,
        previous: _ListResult | None,
    ) -> _ListResult:
        known = previous.signatures if previous is not None else {}
        signatures: SignatureCache = {}
        valid = tuple(
            member
            for member in members.members
            if self._well_formed(document.key, member)
            and self._signed_by_all(member, known, signatures)
        )
        return _ListResult(
            document,
            valid,
            tuple(member.member_id for member in members.members),
            frozenset(
                member.member_id
                for member in members.members
                if member.departed
            ),
            signatures,
            frozenset(
                (member.member_id, withdrawal.team)
                for member in members.members
                for withdrawal in member.withdrawals
                if withdrawal.team in self.team_keys
                and not self._withdrawal_valid(
                    member, withdrawal, known, signatures
                )
            ),
        )

    def _withdrawal_valid(
        self,
        member: documents.Member,
        withdrawal: documents.Withdrawal,
        known: SignatureCache,
        signatures: SignatureCache,
    ) -> bool:
        team = withdrawal.team
        signed = withdrawal_statement(
            self.deployment, member, team, withdrawal.sequence
        )
        entry = team, signed, withdrawal.signature
        return self._verified(entry, known, signatures)

    def _verified(
        self,
        entry: tuple[str, bytes, bytes],
        known: SignatureCache,
        signatures: SignatureCache,
    ) -> bool:
        team, signed, signature = entry
        if entry not in known:
            self.verifications += 1
            known[entry] = signature_valid(
                signed, signature, self.team_keys[team]
            )
        signatures[entry] = known[entry]
        return known[entry]

    def _well_formed(self, key: str, member: documents.Member) -> bool:
        return (
            len(member.public_key) == PUBLIC_KEY_BYTES
            and member.member_id == identity.member_id_of(member.public_key)
            and listed_under_own_key(key, member)
        )

    def _signed_by_all(
        self,
        member: documents.Member,
        known: SignatureCache,
        signatures: SignatureCache,
    ) -> bool:
        if not self.team_keys:
            return False
        by_team = {found.team: found for found in member.approvals}
        for team in self.team_keys:
            found = by_team.get(team)
            if found is None or found.sequence <= withdrawn_sequence(
                member, team
            ):
                return False
            signed = approval_statement(
                self.deployment, member, found.sequence
            )
            entry = team, signed, found.signature
            if not self._verified(entry, known, signatures):
                return False
        return True


def _listed_once(
    results: list[_ListResult],
) -> dict[identity.MemberId, documents.Member]:
    seen: set[identity.MemberId] = set()
    refused: set[identity.MemberId] = set()
    for result in results:
        refused |= result.departed
        for member_id in result.listed:
            if member_id in seen:
                refused.add(member_id)
            seen.add(member_id)
    return {
        member.member_id: member
        for result in results
        for member in result.valid
        if member.member_id not in refused
    }
