"""Tests of recording approvals and withdrawals."""

from typing import Any
import unittest

import attrs
import msgspec
from returns import result as results

from godwitturn.core import approval
from godwitturn.core import approval_changes
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.standins import control_fixtures

DEPLOYMENT = control_fixtures.DEPLOYMENT
TARGET = control_fixtures.target("t1", "styledesk", "midland")
OTHER = control_fixtures.target("t3", "styledesk", "midland")
DEPARTED = attrs.evolve(
    control_fixtures.target("t2", "styledesk", "midland"), departed=True
)
LIST = documents.MemberList((TARGET, DEPARTED))


def _refusal_of(
    result: results.Result[Any, changes.Refusal],
) -> changes.Refusal:
    assert isinstance(result, results.Failure), result
    return result.failure()


def _withdraw(
    present: documents.MemberList,
    member: documents.Member,
    *,
    team: str = "north",
    signer: str = "north",
    signed_member: documents.Member | None = None,
    deployment: str = DEPLOYMENT,
) -> changes.MemberListResult:
    withdrawal = approval_changes.sign_withdrawal(
        deployment,
        signed_member or member,
        team,
        control_fixtures.TEAM_SIGNING_KEYS[signer],
    )
    return _record(present, member, withdrawal)


def _record(
    present: documents.MemberList,
    member: documents.Member,
    statement: documents.Approval | documents.Withdrawal,
) -> changes.MemberListResult:
    return approval_changes.record_signature(
        present,
        member.member_id,
        statement,
        deployment=DEPLOYMENT,
        team_keys=control_fixtures.TEAM_KEYS,
    )


def _approve(
    team: str,
    signer: str,
    *,
    deployment: str = DEPLOYMENT,
    member: documents.Member = TARGET,
) -> changes.MemberListResult:
    key = control_fixtures.TEAM_SIGNING_KEYS[signer]
    signed = approval_changes.sign_approval(deployment, member, team, key)
    return approval_changes.record_signature(
        LIST,
        TARGET.member_id,
        signed,
        deployment=DEPLOYMENT,
        team_keys=control_fixtures.TEAM_KEYS,
    )


class TestApprove(unittest.TestCase):
    """Only a team's own signature over this exact member may be stored."""

    def test_member_is_approved_once_all_teams_signed(self) -> None:
        value: documents.MemberList | None = LIST
        for team, key in control_fixtures.TEAM_SIGNING_KEYS.items():
            signed = approval_changes.sign_approval(
                DEPLOYMENT, TARGET, team, key
            )
            value = approval_changes.record_signature(
                value,
                TARGET.member_id,
                signed,
                deployment=DEPLOYMENT,
                team_keys=control_fixtures.TEAM_KEYS,
            ).unwrap()
        configuration = configurations.Configuration()
        configuration.merge(
            control_fixtures.document("members/styledesk", 1, value)
        )
        verifier = approval.ApprovalVerifier(
            DEPLOYMENT, control_fixtures.TEAM_KEYS
        )
        self.assertEqual(
            [TARGET.member_id], list(verifier.approved_members(configuration))
        )

    def test_rejects_signature_of_another_team(self) -> None:
        """Guards against one team that approves for another."""
        self.assertEqual(
            "signature", _refusal_of(_approve("north", "south")).field
        )

    def test_rejects_signature_for_another_place_or_deployment(self) -> None:
        """Guards against an approval reused in another place or deployment."""
        moved = attrs.evolve(TARGET, data_centre="subiaco")
        for result in (
            _approve("north", "north", deployment="other"),
            _approve("north", "north", member=moved),
        ):
            self.assertEqual("signature", _refusal_of(result).field)

    def test_rejects_unknown_team(self) -> None:
        refusal = _refusal_of(_approve("west", "north"))
        self.assertEqual(("team", "west"), (refusal.field, refusal.value))
        self.assertIn("north, south", refusal.allowed)

    def test_repeated_approval_has_no_effect(self) -> None:
        once = _approve("north", "north").unwrap()
        signed = once.members[0].approvals[0]
        again = approval_changes.record_signature(
            once,
            TARGET.member_id,
            signed,
            deployment=DEPLOYMENT,
            team_keys=control_fixtures.TEAM_KEYS,
        )
        self.assertEqual(once, again.unwrap())

    def test_rejects_departed_member(self) -> None:
        """Guards against approving a member that was removed for good."""
        result = changes.find_member(LIST.members, DEPARTED.name)
        self.assertEqual("t2", _refusal_of(result).value)
        refusal = _refusal_of(_withdraw(LIST, DEPARTED))
        self.assertIn("has not departed", refusal.allowed)


class TestWithdraw(unittest.TestCase):
    """A withdrawal must come from one team and affect one member."""

    def setUp(self) -> None:
        self.member = control_fixtures.signed(TARGET)
        self.other = control_fixtures.signed(OTHER)
        self.present = documents.MemberList((self.member, self.other))

    def _approval(self, member: documents.Member) -> documents.Approval:
        key = control_fixtures.TEAM_SIGNING_KEYS["north"]
        return approval_changes.sign_approval(DEPLOYMENT, member, "north", key)

    def test_withdraws_one_team_of_one_member(self) -> None:
        after = _withdraw(self.present, self.member).unwrap()
        teams = [approval.team for approval in after.members[0].approvals]
        self.assertEqual(["south"], teams)
        (withdrawal,) = after.members[0].withdrawals
        self.assertEqual("north", withdrawal.team)
        self.assertEqual(self.other, after.members[1])

    def test_withdrawal_before_any_approval_is_recorded(self) -> None:
        """Guards against a withdrawal that is lost if no approval exists."""
        after = _withdraw(LIST, TARGET).unwrap().members[0]
        self.assertTrue(approval.is_withdrawn(after, "north"))

    def test_rejects_signature_of_another_team(self) -> None:
        """Guards against one team that withdraws for another."""
        result = _withdraw(self.present, self.member, signer="south")
        self.assertEqual("signature", _refusal_of(result).field)

    def test_rejects_signature_for_another_member_or_deployment(self) -> None:
        for result in (
            _withdraw(self.present, self.member, signed_member=self.other),
            _withdraw(self.present, self.member, deployment="other"),
        ):
            self.assertEqual("signature", _refusal_of(result).field)

    def test_approval_and_withdrawal_are_not_interchangeable(self) -> None:
        """Guards against one statement replayed as the other."""
        signature = self.member.approvals[0].signature
        withdrawal = documents.Withdrawal("north", signature)
        result = _record(self.present, self.member, withdrawal)
        self.assertEqual("signature", _refusal_of(result).field)
        key = control_fixtures.TEAM_SIGNING_KEYS["north"]
        withdrawal = approval_changes.sign_withdrawal(
            DEPLOYMENT, self.member, "north", key
        )
        approval_of_withdrawal = documents.Approval(
            "north", withdrawal.signature
        )
        result = _record(self.present, self.member, approval_of_withdrawal)
        self.assertEqual("signature", _refusal_of(result).field)

    def test_rejects_unknown_team(self) -> None:
        result = _withdraw(self.present, self.member, team="west")
        self.assertEqual("team", _refusal_of(result).field)

    def test_withdrawn_approval_cannot_be_replayed(self) -> None:
        """Guards against a token holder who undoes a team's withdrawal."""
        old = self.member.approvals[0]
        after = _withdraw(self.present, self.member).unwrap()
        refusal = _refusal_of(_record(after, self.member, old))
        self.assertEqual(("sequence", "0"), (refusal.field, refusal.value))
        forged = attrs.evolve(old, sequence=1)
        result = _record(after, self.member, forged)
        self.assertEqual("signature", _refusal_of(result).field)

    def test_new_approval_supersedes_older_statements(self) -> None:
        """Guards against an old statement replayed after a newer one."""
        old = self.member.approvals[0]
        after = _withdraw(self.present, self.member).unwrap()
        (withdrawal,) = after.members[0].withdrawals
        new = self._approval(after.members[0])
        again = _record(after, self.member, new).unwrap()
        self.assertEqual(1, new.sequence)
        self.assertEqual(
            ("north", "south"),
            approval_changes.approving_teams(
                DEPLOYMENT, again.members[0], control_fixtures.TEAM_KEYS
            ),
        )
        for statement in (old, withdrawal):
            refusal = _refusal_of(_record(again, self.member, statement))
            self.assertEqual("sequence", refusal.field)

    def test_repeated_withdrawal_has_no_effect(self) -> None:
        once = _withdraw(self.present, self.member).unwrap()
        again = _withdraw(once, once.members[0]).unwrap()
        self.assertEqual(once, again)

    def test_signed_withdrawal_replaces_an_unsigned_one(self) -> None:
        unsigned = documents.Withdrawal("north", b"")
        member = attrs.evolve(self.member, withdrawals=(unsigned,))
        after = _withdraw(documents.MemberList((member,)), member).unwrap()
        (withdrawal,) = after.members[0].withdrawals
        self.assertTrue(
            approval_changes.signature_valid(
                DEPLOYMENT, member, withdrawal, control_fixtures.TEAM_KEYS
            )
        )

    def test_decodes_members_stored_without_sequences(self) -> None:
        """Guards against stored approvals that no longer count."""
        old: Any = msgspec.to_builtins(self.member, builtin_types=(bytes,))
        del old["withdrawals"]
        for stored in old["approvals"]:
            del stored["sequence"]
        body = msgspec.msgpack.encode(old)
        decoded = msgspec.msgpack.decode(body, type=documents.Member)
        self.assertEqual(self.member, decoded)
