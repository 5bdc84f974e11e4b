"""Signing and recording of teams' approvals and withdrawals.

An approval carries the sequence after that of the team's last withdrawal, and
a withdrawal carries the sequence of the team's approval. The sequence is
signed, so that a superseded approval or withdrawal has no effect when it is
replayed.
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

_MemberResult = results.Result[documents.Member, changes.Refusal]
_SignedStatement = documents.Approval | documents.Withdrawal
_T = TypeVar("_T", documents.Approval, documents.Withdrawal)


def approval_sequence(member: documents.Member, team: str) -> int:
    """Returns the sequence that a team's next approval must carry."""
    return approvals.withdrawn_sequence(member, team) + 1


def withdrawal_sequence(member: documents.Member, team: str) -> int:
    """Returns the sequence that a team's next withdrawal must carry."""
    approved_sequences = [
        approval.sequence
        for approval in member.approvals
        if approval.team == team
    ]
    return max(
        0, approvals.withdrawn_sequence(member, team), *approved_sequences
    )


def sign_approval(
    deployment: str,
    member: documents.Member,
    team: str,
    signing_key: signing.SigningKey,
) -> documents.Approval:
    """Returns a team's signed approval of a listed member."""
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
    """Returns a team's signed withdrawal for a listed member."""
    sequence = withdrawal_sequence(member, team)
    signed = approvals.withdrawal_statement(deployment, member, team, sequence)
    signature = signing_key.sign(signed).signature
    return documents.Withdrawal(team, signature, sequence)


def _statement(
    deployment: str, member: documents.Member, signed: _SignedStatement
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
    signed: _SignedStatement,
    team_keys: Mapping[str, bytes],
) -> bool:
    """Returns whether an approval or withdrawal is signed by its team.

    Args:
        deployment: Name of the deployment.
        member: The member.
        signed: The approval or withdrawal; its sequence is not compared with
            those that the team signed before.
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
    """Returns the teams with a valid approval of a member, sorted."""
    return tuple(
        sorted(
            approval.team
            for approval in member.approvals
            if approval.sequence
            > approvals.withdrawn_sequence(member, approval.team)
            and signature_valid(deployment, member, approval, team_keys)
        )
    )


def _refusal(
    deployment: str,
    member: documents.Member,
    signed: _SignedStatement,
    team_keys: Mapping[str, bytes],
) -> changes.Refusal | None:
    """Returns why a signature can't be recorded for a member, or None."""
    match signed:
        case documents.Approval():
            expected = approval_sequence(member, signed.team)
            subject = member.name
        case documents.Withdrawal():
            expected = withdrawal_sequence(member, signed.team)
            subject = f"the withdrawal for {member.name}"
    if signed.sequence != expected:
        allowed = f"{expected}, which follows the team's earlier signatures"
        return changes.Refusal("sequence", str(signed.sequence), allowed)
    if not signature_valid(deployment, member, signed, team_keys):
        allowed = f"the signature of team {signed.team} over {subject}"
        return changes.Refusal("signature", signed.signature.hex(), allowed)
    return None


def _add_statement(
    member: documents.Member, signed: _SignedStatement
) -> documents.Member:
    match signed:
        case documents.Approval():
            if signed in member.approvals:
                return member
            other_approvals = _without_team(member.approvals, signed.team)
            return attrs.evolve(member, approvals=(*other_approvals, signed))
        case documents.Withdrawal():
            other_approvals = _without_team(member.approvals, signed.team)
            withdrawals = member.withdrawals
            if signed not in withdrawals:
                other_withdrawals = _without_team(withdrawals, signed.team)
                withdrawals = (*other_withdrawals, signed)
            return attrs.evolve(
                member, approvals=other_approvals, withdrawals=withdrawals
            )


def _without_team(statements: tuple[_T, ...], team: str) -> tuple[_T, ...]:
    return tuple(signed for signed in statements if signed.team != team)


def record_signature(
    present: documents.MemberList | None,
    member_id: identity.MemberId,
    signed: _SignedStatement,
    *,
    deployment: str,
    team_keys: Mapping[str, bytes],
) -> changes.MemberListResult:
    """Records a team's approval of a member, or its withdrawal.

    An approval replaces the team's earlier approval; a withdrawal replaces
    its approval and its earlier withdrawal. A team may withdraw before it has
    approved.

    Args:
        present: Current list that contains the member.
        member_id: The member.
        signed: The approval or withdrawal; its sequence and signature are
            checked before it is added.
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team.
    """
    if signed.team not in team_keys:
        allowed = inventory.format_choices(sorted(team_keys))
        return results.Failure(changes.Refusal("team", signed.team, allowed))

    def add(member: documents.Member) -> _MemberResult:
        refusal = _refusal(deployment, member, signed, team_keys)
        if refusal is not None:
            return results.Failure(refusal)
        return results.Success(_add_statement(member, signed))

    return changes.update_member(present, member_id, add)
