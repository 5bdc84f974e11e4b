"""Tests of which members are approved."""

from collections.abc import Mapping
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import approval
from godwitturn.core import configuration
from godwitturn.core import documents
from godwitturn.standins import control_fixtures as fixtures

GOOD = fixtures.signed(fixtures.target("t1", "a", "east"))


def _approved(
    lists: Mapping[str, tuple[documents.Member, ...]],
    teams: dict[str, bytes] = fixtures.TEAM_KEYS,
    deployment: str = fixtures.DEPLOYMENT,
) -> set[int]:
    merged = configuration.Configuration()
    for key, members in lists.items():
        value = documents.MemberList(members)
        merged.merge(fixtures.document(key, 1, value))
    verifier = approval.ApprovalVerifier(deployment, teams)
    return set(verifier.approved_members(merged))


class TestApproval(unittest.TestCase):
    """A member that one team did not approve must carry no traffic."""

    def test_accepts_member_approved_by_all_teams(self) -> None:
        balancer = fixtures.signed(fixtures.balancer("b1", "east"))
        approved = _approved(
            {"members/a": (GOOD,), "balancers/east": (balancer,)}
        )
        self.assertEqual({GOOD.member_id, balancer.member_id}, approved)

    def test_rejects_member_without_every_approval(self) -> None:
        for teams in ((), ("north",), ("south",)):
            member = fixtures.signed(GOOD, teams)
            self.assertEqual(set(), _approved({"members/a": (member,)}))

    def test_rejects_all_members_without_team_keys(self) -> None:
        self.assertEqual(set(), _approved({"members/a": (GOOD,)}, teams={}))

    def test_rejects_signature_of_another_team(self) -> None:
        signature = GOOD.approvals[0].signature
        both = tuple(
            documents.Approval(team, signature) for team in fixtures.TEAM_KEYS
        )
        member = attrs.evolve(GOOD, approvals=both)
        self.assertEqual(set(), _approved({"members/a": (member,)}))

    def test_rejects_approval_for_another_deployment(self) -> None:
        lists = {"members/a": (GOOD,)}
        self.assertEqual(set(), _approved(lists, deployment="other"))

    def test_rejects_approval_after_a_signed_field_changed(self) -> None:
        other_key = fixtures.public_key("other")
        changes = (
            {"service": "b"},
            {"data_centre": "west"},
            {"kind": documents.MemberKind.BALANCER, "service": ""},
            {"public_key": other_key},
            {
                "public_key": other_key,
                "member_id": fixtures.member_id("other"),
            },
            {"member_id": GOOD.member_id + 1},
        )
        for change in changes:
            member = attrs.evolve(GOOD, **change)
            for key in ("members/a", "members/b", "balancers/east"):
                self.assertEqual(set(), _approved({key: (member,)}), change)

    def test_rejects_id_that_is_not_the_digest_of_the_key(self) -> None:
        wrong = attrs.evolve(GOOD, member_id=7)
        member = fixtures.signed(wrong)
        self.assertEqual(set(), _approved({"members/a": (member,)}))

    def test_accepts_changed_weight_and_draining_mark(self) -> None:
        member = attrs.evolve(GOOD, weight=0.5, draining=True)
        approved = _approved({"members/a": (member,)})
        self.assertEqual({GOOD.member_id}, approved)

    def test_rejects_member_listed_under_another_service(self) -> None:
        self.assertEqual(set(), _approved({"members/b": (GOOD,)}))

    def test_rejects_member_departed_in_any_document(self) -> None:
        departed = attrs.evolve(GOOD, departed=True)
        self.assertEqual(set(), _approved({"members/a": (departed,)}))
        lists = {"members/a": (GOOD,), "members/b": (departed,)}
        self.assertEqual(set(), _approved(lists))

    def test_rejects_member_listed_twice(self) -> None:
        self.assertEqual(set(), _approved({"members/a": (GOOD, GOOD)}))
        lists = {"members/a": (GOOD,), "balancers/east": (GOOD,)}
        self.assertEqual(set(), _approved(lists))

    @hypothesis.given(strategies.binary(max_size=70))
    def test_rejects_arbitrary_signature(self, signature: bytes) -> None:
        forged = tuple(
            documents.Approval(team, signature) for team in fixtures.TEAM_KEYS
        )
        member = attrs.evolve(GOOD, approvals=forged)
        self.assertEqual(set(), _approved({"members/a": (member,)}))


def _withdrawal(
    member: documents.Member, sequence: int = 0
) -> documents.Withdrawal:
    signed = approval.withdrawal_statement(
        fixtures.DEPLOYMENT, member, "north", sequence
    )
    key = fixtures.TEAM_SIGNING_KEYS["north"]
    return documents.Withdrawal("north", key.sign(signed).signature, sequence)


def _approval(sequence: int) -> documents.Approval:
    signed = approval.approval_statement(fixtures.DEPLOYMENT, GOOD, sequence)
    key = fixtures.TEAM_SIGNING_KEYS["north"]
    return documents.Approval("north", key.sign(signed).signature, sequence)


class TestWithdrawal(unittest.TestCase):
    """A member that one team withdrew must carry no traffic."""

    def _is_approved(self, *withdrawals: documents.Withdrawal) -> bool:
        member = attrs.evolve(GOOD, withdrawals=withdrawals)
        return bool(_approved({"members/a": (member,)}))

    def test_withdrawal_overrides_a_replayed_approval(self) -> None:
        """Guards against an old approval written to the store again."""
        self.assertFalse(self._is_approved(_withdrawal(GOOD)))
        self.assertFalse(self._is_approved(_withdrawal(GOOD, 3)))

    def test_unsigned_withdrawal_takes_effect(self) -> None:
        unsigned = documents.Withdrawal("north", b"")
        self.assertFalse(self._is_approved(unsigned))
        self.assertFalse(
            self._is_approved(attrs.evolve(unsigned, sequence=-1))
        )

    def test_ignores_withdrawal_of_an_unknown_team(self) -> None:
        unknown = attrs.evolve(_withdrawal(GOOD), team="west")
        self.assertTrue(self._is_approved(unknown))

    def test_new_approval_needs_the_next_sequence(self) -> None:
        for sequence, expected in ((0, False), (1, True), (2, True)):
            member = attrs.evolve(
                GOOD,
                approvals=(_approval(sequence), GOOD.approvals[1]),
                withdrawals=(_withdrawal(GOOD),),
            )
            approved = _approved({"members/a": (member,)})
            self.assertEqual(expected, bool(approved), sequence)

    def test_rejects_approval_with_a_changed_sequence(self) -> None:
        """Guards against an old approval with a changed sequence."""
        raised = attrs.evolve(GOOD.approvals[0], sequence=1)
        member = attrs.evolve(
            GOOD,
            approvals=(raised, GOOD.approvals[1]),
            withdrawals=(_withdrawal(GOOD),),
        )
        self.assertEqual(set(), _approved({"members/a": (member,)}))

    def test_rejects_withdrawn_balancer_of_a_directory(self) -> None:
        """Guards against a withdrawn balancer that is used as a seed."""
        member = fixtures.signed(fixtures.balancer("b1", "east"))
        verifier = approval.ApprovalVerifier(
            fixtures.DEPLOYMENT, fixtures.TEAM_KEYS
        )
        self.assertTrue(verifier.is_approved_balancer(member))
        withdrawn = attrs.evolve(member, withdrawals=(_withdrawal(member),))
        self.assertFalse(verifier.is_approved_balancer(withdrawn))

    def test_unverified_withdrawals_are_reported_once(self) -> None:
        """Guards against a withdrawal that the team did not sign itself."""
        other = fixtures.signed(fixtures.target("t2", "a", "east"))
        valid = attrs.evolve(GOOD, withdrawals=(_withdrawal(GOOD),))
        # The signature is over another member.
        forged = attrs.evolve(other, withdrawals=(_withdrawal(GOOD),))
        verifier = approval.ApprovalVerifier(
            fixtures.DEPLOYMENT, fixtures.TEAM_KEYS
        )
        merged = configuration.Configuration()
        value = documents.MemberList((valid, forged))
        merged.merge(fixtures.document("members/a", 1, value))
        self.assertEqual({}, verifier.approved_members(merged))
        (emitted,) = verifier.report_unverified_withdrawals()
        self.assertEqual(
            {"member": f"{other.member_id:016x}", "team": "north"},
            emitted.event.fields,
        )
        verifier.approved_members(merged)
        self.assertEqual([], verifier.report_unverified_withdrawals())


class TestApprovalCost(unittest.TestCase):
    """A change must not cost the verification of unchanged members.

    Verifying all members after each change would stall a daemon.
    """

    def setUp(self) -> None:
        self.configuration = configuration.Configuration()
        self.verifier = approval.ApprovalVerifier(
            fixtures.DEPLOYMENT, fixtures.TEAM_KEYS
        )
        self.members = tuple(
            fixtures.signed(fixtures.target(f"t{i}", "a", "east"))
            for i in range(4)
        )

    def _count_verifications(self, revision: int, members: tuple) -> int:
        before = self.verifier.verification_count
        value = documents.MemberList(members)
        document = fixtures.document("members/a", revision, value)
        self.configuration.merge(document)
        self.verifier.approved_members(self.configuration)
        return self.verifier.verification_count - before

    def test_only_new_members_are_verified(self) -> None:
        self.assertEqual(8, self._count_verifications(1, self.members))
        self.assertEqual(0, self._count_verifications(1, self.members))
        extra = fixtures.signed(fixtures.target("t9", "a", "east"))
        self.assertEqual(
            2, self._count_verifications(2, (*self.members, extra))
        )

    def test_cached_result_does_not_outlive_the_approval(self) -> None:
        self._count_verifications(1, self.members)
        withdrawn = fixtures.signed(self.members[0], ("north",))
        self._count_verifications(2, (withdrawn, *self.members[1:]))
        approved = self.verifier.approved_members(self.configuration)
        self.assertNotIn(withdrawn.member_id, approved)
        self.assertEqual(3, len(approved))
