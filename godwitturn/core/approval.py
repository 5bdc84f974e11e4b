"""Verification of which listed members every team has approved."""

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


def _signed_fields(
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
        sequence: The approval's sequence. Sequence 0 is left out of the
            signed bytes, so that approvals that were signed before sequences
            were introduced stay valid.
    """
    fields = _signed_fields(deployment, member)
    if sequence == 0:
        return msgspec.msgpack.encode((STATEMENT_TAG, *fields))
    return msgspec.msgpack.encode((RENEWED_STATEMENT_TAG, *fields, sequence))


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
    fields = _signed_fields(deployment, member)
    return msgspec.msgpack.encode((WITHDRAWAL_TAG, *fields, team, sequence))


def withdrawn_sequence(member: documents.Member, team: str) -> int:
    """Returns the highest sequence of a team's withdrawals, -1 for none.

    Withdrawals count whether or not their signature is valid: in case of
    doubt, a member must carry no traffic.
    """
    return max(
        (
            max(withdrawal.sequence, 0)
            for withdrawal in member.withdrawals
            if withdrawal.team == team
        ),
        default=-1,
    )


def is_withdrawn(member: documents.Member, team: str) -> bool:
    """Returns whether a team withdrew and has not approved again.

    The signature of a later approval is not checked.
    """
    withdrawn = withdrawn_sequence(member, team)
    approved_again = any(
        approval.team == team and approval.sequence > withdrawn
        for approval in member.approvals
    )
    return withdrawn >= 0 and not approved_again


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


def key_matches_member(key: str, member: documents.Member) -> bool:
    """Returns whether a document with this key may list the member."""
    if member.kind == documents.MemberKind.TARGET:
        return bool(member.service) and (
            key == configurations.MEMBERS_PREFIX + member.service
        )
    return member.service == "" and (
        key == configurations.BALANCERS_PREFIX + member.data_centre
    )


SignatureCache = dict[tuple[str, bytes, bytes], bool]


@attrs.define
class _DocumentResult:
    """Verification result of one revision of a document."""

    document: configurations.VersionedDocument
    approved: tuple[documents.Member, ...]
    listed_ids: tuple[identity.MemberId, ...]
    departed_ids: frozenset[identity.MemberId]
    signature_cache: SignatureCache
    unverified_withdrawals: frozenset[tuple[identity.MemberId, str]]


@attrs.define
class ApprovalVerifier:
    """Verifies approvals and returns a configuration's approved members.

    Results are cached by document, and signature checks by (team, statement,
    signature), so that a changed document costs only the verification of its
    new or changed members. Entries of replaced documents are dropped.

    Attributes:
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team, from settings. While it is
            empty, no member is approved.
        verification_count: Signatures verified so far, cache hits excluded.
        unverified_withdrawals: Member and team of each withdrawal without a
            valid signature of that team, as of the last call of
            `approved_members`. Such a withdrawal takes effect nevertheless.
    """

    deployment: str
    team_keys: Mapping[str, bytes]
    verification_count: int = 0
    unverified_withdrawals: frozenset[tuple[identity.MemberId, str]] = (
        frozenset()
    )
    _reported_withdrawals: frozenset[tuple[identity.MemberId, str]] = (
        frozenset()
    )
    _cached_result_by_key: dict[str, _DocumentResult] = attrs.field(
        factory=dict
    )

    def approved_members(
        self, configuration: configurations.Configuration
    ) -> dict[identity.MemberId, documents.Member]:
        """Returns the members that may carry traffic, by id."""
        results: dict[str, _DocumentResult] = {}
        for key, members in configuration.member_lists().items():
            document = configuration.document_by_key[key]
            cached = self._cached_result_by_key.get(key)
            if cached is None or cached.document != document:
                cached = self._verify_document(document, members, cached)
            results[key] = cached
        self._cached_result_by_key = results
        self.unverified_withdrawals = frozenset().union(
            *(result.unverified_withdrawals for result in results.values())
        )
        return _merge_results(list(results.values()))

    def report_unverified_withdrawals(self) -> list[actions.Emit]:
        """Returns a log event for each new unverified withdrawal."""
        unreported = sorted(
            self.unverified_withdrawals - self._reported_withdrawals
        )
        self._reported_withdrawals = self.unverified_withdrawals
        return [
            actions.Emit(
                events.LogEvent(
                    events.EventId.CONTROL_WITHDRAWAL_UNVERIFIED,
                    {"member": f"{member_id:016x}", "team": team},
                )
            )
            for member_id, team in unreported
        ]

    def is_approved_balancer(self, member: documents.Member) -> bool:
        """Returns whether a balancer's record has every team's approval.

        The record may be older than a withdrawal or the balancer's departure;
        only `approved_members` takes these into account.
        """
        key = configurations.BALANCERS_PREFIX + member.data_centre
        return (
            member.kind == documents.MemberKind.BALANCER
            and self._is_well_formed(key, member)
            and self._is_approved_by_all_teams(member, {}, {})
        )

    def _verify_document(
        self,
        document: configurations.VersionedDocument,
        members: documents.MemberList,
        previous: _DocumentResult | None,
    ) -> _DocumentResult:
        previous_cache = (
            previous.signature_cache if previous is not None else {}
        )
        new_cache: SignatureCache = {}
        approved = tuple(
            member
            for member in members.members
            if self._is_well_formed(document.key, member)
            and self._is_approved_by_all_teams(
                member, previous_cache, new_cache
            )
        )
        return _DocumentResult(
            document,
            approved,
            tuple(member.member_id for member in members.members),
            frozenset(
                member.member_id
                for member in members.members
                if member.departed
            ),
            new_cache,
            frozenset(
                (member.member_id, withdrawal.team)
                for member in members.members
                for withdrawal in member.withdrawals
                if withdrawal.team in self.team_keys
                and not self._is_withdrawal_valid(
                    member, withdrawal, previous_cache, new_cache
                )
            ),
        )

    def _is_withdrawal_valid(
        self,
        member: documents.Member,
        withdrawal: documents.Withdrawal,
        previous_cache: SignatureCache,
        new_cache: SignatureCache,
    ) -> bool:
        team = withdrawal.team
        signed = withdrawal_statement(
            self.deployment, member, team, withdrawal.sequence
        )
        entry = team, signed, withdrawal.signature
        return self._is_signature_valid(entry, previous_cache, new_cache)

    def _is_signature_valid(
        self,
        entry: tuple[str, bytes, bytes],
        previous_cache: SignatureCache,
        new_cache: SignatureCache,
    ) -> bool:
        team, signed, signature = entry
        if entry not in previous_cache:
            self.verification_count += 1
            previous_cache[entry] = signature_valid(
                signed, signature, self.team_keys[team]
            )
        new_cache[entry] = previous_cache[entry]
        return previous_cache[entry]

    def _is_well_formed(self, key: str, member: documents.Member) -> bool:
        return (
            len(member.public_key) == PUBLIC_KEY_BYTES
            and member.member_id == identity.member_id_of(member.public_key)
            and key_matches_member(key, member)
        )

    def _is_approved_by_all_teams(
        self,
        member: documents.Member,
        previous_cache: SignatureCache,
        new_cache: SignatureCache,
    ) -> bool:
        if not self.team_keys:
            return False
        approval_by_team = {
            approval.team: approval for approval in member.approvals
        }
        for team in self.team_keys:
            approval = approval_by_team.get(team)
            if approval is None or approval.sequence <= withdrawn_sequence(
                member, team
            ):
                return False
            signed = approval_statement(
                self.deployment, member, approval.sequence
            )
            entry = team, signed, approval.signature
            if not self._is_signature_valid(entry, previous_cache, new_cache):
                return False
        return True


def _merge_results(
    results: list[_DocumentResult],
) -> dict[identity.MemberId, documents.Member]:
    """Returns the approved members of all documents, by id.

    A member that any document marks as departed, or that is listed more than
    once, is left out.
    """
    seen_ids: set[identity.MemberId] = set()
    excluded_ids: set[identity.MemberId] = set()
    for result in results:
        excluded_ids |= result.departed_ids
        for member_id in result.listed_ids:
            if member_id in seen_ids:
                excluded_ids.add(member_id)
            seen_ids.add(member_id)
    return {
        member.member_id: member
        for result in results
        for member in result.approved
        if member.member_id not in excluded_ids
    }
