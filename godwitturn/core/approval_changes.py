"""Changes of a team's approval of a member.

A team approves with the sequence after its last withdrawal and withdraws with
the sequence of its approval. Both are signed, so that neither an old approval
nor an old withdrawal has an effect once it was superseded.
"""

from collections.abc import Mapping
from typing import TypeVar

import attrs
from nacl import signing
from returns import result as results

from godwitturn.core import approval as approvals
from godwitturn.core import changes
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import inventory

_Changed = results.Result[documents.Member, changes.Refusal]
_Signed = documents.Approval | documents.Withdrawal
_T = TypeVar("_T", documents.Approval, documents.Withdrawal)


def approval_sequence(member: documents.Member, team: str) -> int:
    """Returns the sequence that a team's approval has to carry now."""
    return approvals.withdrawn_sequence(member, team) + 1


def withdrawal_sequence(member: documents.Member, team: str) -> int:
    """Returns the sequence that a team's withdrawal has to carry now."""
    given = [
        found.sequence for found in member.approvals if found.team == team
    ]
    return max(0, approvals.withdrawn_sequence(member, team), *given)


def sign_approval(
    deployment: str,
    member: documents.Member,
    team: str,
    signing_key: signing.SigningKey,
) -> documents.Approval:
    """Returns a team's approval of a member as it is listed."""
    sequence = approval_sequence(member, team)
    signed = approvals.approval_statement(deployment, member, sequence)
    signature = signing_key.sign(signed).signature
    return documents.Approval(team, signature, sequence)


def sign_withdrawal(
    deployment: str,
    member: documents.Member,
    team: str,
    signing_key: signing.SigningKey,
) -> documents.Withdrawal:
    """Returns a team's withdrawal for a member as it is listed."""
    sequence = withdrawal_sequence(member, team)
    signed = approvals.withdrawal_statement(deployment, member, team, sequence)
    signature = signing_key.sign(signed).signature
    return documents.Withdrawal(team, signature, sequence)


def _statement(
    deployment: str, member: documents.Member, signed: _Signed
) -> bytes:
    match signed:
        case documents.Approval():
            return approvals.approval_statement(
                deployment, member, signed.sequence
            )
        case documents.Withdrawal():
            return approvals.withdrawal_statement(
                deployment, member, signed.team, signed.sequence
            )


def signature_valid(
    deployment: str,
    member: documents.Member,
    signed: _Signed,
    team_keys: Mapping[str, bytes],
) -> bool:
    """Returns whether an approval or withdrawal is signed by its team.

    Args:
        deployment: Name of the deployment.
        member: The member.
        signed: The approval or withdrawal; its sequence is not compared with
            what the team signed before.
        team_keys: Ed25519 public key by team.
    """
    return signed.team in team_keys and approvals.signature_valid(
        _statement(deployment, member, signed),
        signed.signature,
        team_keys[signed.team],
    )


def approving_teams(
    deployment: str,
    member: documents.Member,
    team_keys: Mapping[str, bytes],
) -> tuple[str, ...]:
    """Returns the teams with a valid approval of a member, in order."""
    return tuple(
        sorted(
            found.team
            for found in member.approvals
            if found.sequence
            > approvals.withdrawn_sequence(member, found.team)
            and signature_valid(deployment, member, found, team_keys)
        )
    )


def _refusal(
    deployment: str,
    member: documents.Member,
    signed: _Signed,
    team_keys: Mapping[str, bytes],
) -> changes.Refusal | None:
    """Returns why a member can't take over a signature, or None."""
    match signed:
        case documents.Approval():
            expected = approval_sequence(member, signed.team)
            subject = member.name
        case documents.Withdrawal():
            expected = withdrawal_sequence(member, signed.team)
            subject = f"the withdrawal for {member.name}"
    if signed.sequence != expected:
        allowed = f"{expected}, which follows from what the team signed before"
        return changes.Refusal("sequence", str(signed.sequence), allowed)
    if not signature_valid(deployment, member, signed, team_keys):
        allowed = f"the signature of team {signed.team} over {subject}"
        return changes.Refusal("signature", signed.signature.hex(), allowed)
    return None


def _with_signed(
    member: documents.Member, signed: _Signed
) -> documents.Member:
    match signed:
        case documents.Approval():
            if signed in member.approvals:
                return member
            kept = _without_team(member.approvals, signed.team)
            return attrs.evolve(member, approvals=(*kept, signed))
        case documents.Withdrawal():
            kept = _without_team(member.approvals, signed.team)
            withdrawals = member.withdrawals
            if signed not in withdrawals:
                others = _without_team(withdrawals, signed.team)
                withdrawals = (*others, signed)
            return attrs.evolve(
                member, approvals=kept, withdrawals=withdrawals
            )


def _without_team(found: tuple[_T, ...], team: str) -> tuple[_T, ...]:
    return tuple(signed for signed in found if signed.team != team)


def record_signature(
    present: documents.MemberList | None,
    member_id: identity.MemberId,
    signed: _Signed,
    *,
    deployment: str,
    team_keys: Mapping[str, bytes],
) -> changes.MemberListResult:
    """Puts a team's approval of a member, or its withdrawal, in force.

    Either replaces what the team signed before. A team may withdraw before
    it has approved.

    Args:
        present: The list that holds the member.
        member_id: The member.
        signed: The approval or withdrawal; its sequence and signature are
            checked before it is added.
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team.
    """
    if signed.team not in team_keys:
        allowed = inventory.choices(sorted(team_keys))
        return results.Failure(changes.Refusal("team", signed.team, allowed))

    def add(member: documents.Member) -> _Changed:
        refusal = _refusal(deployment, member, signed, team_keys)
        if refusal is not None:
            return results.Failure(refusal)
        return results.Success(_with_signed(member, signed))

    return changes.with_member(present, member_id, add)
