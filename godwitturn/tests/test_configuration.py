"""Tests of documents, versions and merging, and of inputs built from them."""

from collections.abc import Callable
import random
from typing import Any
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import approval
from godwitturn.core import configuration
from godwitturn.core import documents
from godwitturn.core import membership
from godwitturn.core import policy
from godwitturn.core import views
from godwitturn.standins import control_fixtures as fixtures

KEYS = ("rules", "services/a", "members/a", "balancers/east", "other")
VALUE_BY_KEY: dict[str, Callable[[], Any]] = {
    "rules": documents.Rules,
    "services/a": lambda: documents.Service("a", 1),
    "members/a": documents.MemberList,
    "balancers/east": documents.MemberList,
    "other": lambda: "anything",
}


def _document(key: str, revision: int) -> configuration.VersionedDocument:
    return fixtures.document(key, revision, VALUE_BY_KEY[key]())


_DOCUMENTS = strategies.builds(
    _document, strategies.sampled_from(KEYS), strategies.integers(1, 9)
)


class TestMerge(unittest.TestCase):
    """Delayed or repeated documents must not revert a newer one."""

    @hypothesis.given(strategies.lists(_DOCUMENTS), strategies.randoms())
    def test_result_is_independent_of_order_and_repetition(
        self,
        received: list[configuration.VersionedDocument],
        generator: random.Random,
    ) -> None:
        one = configuration.Configuration()
        configuration.merge_documents(one, received)
        shuffled = received + received
        generator.shuffle(shuffled)
        other = configuration.Configuration()
        configuration.merge_documents(other, shuffled)
        newest: dict[str, int] = {}
        for document in received:
            newest[document.key] = max(
                document.revision, newest.get(document.key, 0)
            )
        revision_by_key = {
            k: d.revision for k, d in one.document_by_key.items()
        }
        self.assertEqual(newest, revision_by_key)
        self.assertEqual(one, other)
        self.assertEqual(one.digest(), other.digest())

    @hypothesis.given(strategies.lists(_DOCUMENTS))
    def test_revisions_never_go_down(
        self, received: list[configuration.VersionedDocument]
    ) -> None:
        merged = configuration.Configuration()
        for document in received:
            before = dict(merged.document_by_key)
            changed = merged.merge(document)
            for key, old in before.items():
                new = merged.document_by_key[key]
                self.assertGreaterEqual(new.revision, old.revision)
            self.assertEqual(changed, before != merged.document_by_key)

    def test_bodies_of_one_revision_merge_to_the_same_in_any_order(
        self,
    ) -> None:
        first = fixtures.document("rules", 3, documents.Rules(("a",)))
        second = fixtures.document("rules", 3, documents.Rules(("b",)))
        one = configuration.Configuration()
        other = configuration.Configuration()
        configuration.merge_documents(one, (first, second))
        configuration.merge_documents(other, (second, first))
        self.assertEqual(one, other)

    def test_directory_of_a_former_lease_holder_is_rejected(self) -> None:
        merged = configuration.Configuration()
        key = "directory/east"
        newer = configuration.Directory((), holder_revision=9)
        older = configuration.Directory((), holder_revision=8)
        merged.merge(fixtures.document(key, 10, newer))
        self.assertFalse(merged.merge(fixtures.document(key, 11, older)))

    def test_changed_since_lists_newer_documents_in_order(self) -> None:
        merged = configuration.Configuration()
        received = [_document(key, 9 - i) for i, key in enumerate(KEYS)]
        configuration.merge_documents(merged, received)
        changed = merged.changed_since(6)
        self.assertEqual([7, 8, 9], [d.revision for d in changed])

    def test_digest_depends_on_bodies(self) -> None:
        one = configuration.Configuration()
        other = configuration.Configuration()
        one.merge(fixtures.document("rules", 3, documents.Rules(("a",))))
        other.merge(fixtures.document("rules", 3, documents.Rules(("b",))))
        self.assertNotEqual(one.digest(), other.digest())


class TestInvalidDocument(unittest.TestCase):
    """A body that does not decode must not replace the one in force."""

    @hypothesis.given(
        strategies.sampled_from(KEYS[:4]), strategies.binary(max_size=40)
    )
    def test_older_document_stays_in_force(
        self, key: str, body: bytes
    ) -> None:
        merged = configuration.Configuration()
        old = _document(key, 1)
        merged.merge(old)
        new = configuration.VersionedDocument(key, 2, body)
        try:
            merged.merge(new)
        except configuration.InvalidDocumentError as error:
            self.assertEqual((key, 2), (error.key, error.revision))
            self.assertEqual(old, merged.document_by_key[key])

    def test_older_invalid_document_is_ignored(self) -> None:
        merged = configuration.Configuration()
        merged.merge(_document("rules", 2))
        older = configuration.VersionedDocument("rules", 1, b"\xc1")
        self.assertFalse(merged.merge(older))

    def test_body_of_the_wrong_type_is_rejected(self) -> None:
        merged = configuration.Configuration()
        with self.assertRaises(configuration.InvalidDocumentError):
            merged.merge(fixtures.document("rules", 2, [1, 2]))
        self.assertEqual(documents.Rules(), merged.rules)

    def test_too_large_body_is_rejected(self) -> None:
        body = bytes(configuration.MAX_BODY_BYTES + 1)
        large = configuration.VersionedDocument("other", 1, body)
        with self.assertRaises(configuration.InvalidDocumentError):
            configuration.Configuration().merge(large)


class TestViews(unittest.TestCase):
    """Unapproved members must get no traffic and a closed policy."""

    def setUp(self) -> None:
        self.good = fixtures.signed(fixtures.target("t1", "a", "east"))
        partly_approved = fixtures.signed(
            fixtures.target("t2", "a", "east"), ("north",)
        )
        balancer = fixtures.signed(fixtures.balancer("b1", "east"))
        self.configuration = configuration.Configuration()
        configuration.merge_documents(
            self.configuration,
            (
                fixtures.document("rules", 1, documents.Rules(("east",))),
                fixtures.document("services/a", 2, documents.Service("a", 7)),
                fixtures.document(
                    "members/a",
                    3,
                    documents.MemberList((self.good, partly_approved)),
                ),
                fixtures.document(
                    "balancers/east", 4, documents.MemberList((balancer,))
                ),
            ),
        )
        self.configuration.mark_complete_through(4)
        self.approved = approval.ApprovalVerifier(
            fixtures.DEPLOYMENT, fixtures.TEAM_KEYS
        ).approved_members(self.configuration)
        self.computed: list[bytes] = []
        self.pair_keys = views.PairKeys(self._compute)

    def _compute(self, public_key: bytes) -> bytes:
        self.computed.append(public_key)
        return public_key[::-1]

    def _policy(self, name: str) -> policy.AgentPolicy:
        return views.agent_policy(
            self.configuration,
            self.approved,
            fixtures.member_id(name),
            self.pair_keys,
        )

    def test_only_approved_targets_reach_routing(self) -> None:
        announced = {
            fixtures.member_id(name): membership.Announcement(
                fixtures.member_id(name),
                1,
                1,
                1,
                addresses.Address("127.0.0.1", 9),
            )
            for name in ("t1", "t2", "b1")
        }
        inputs = views.routing_inputs(
            self.configuration, self.approved, announced, self.pair_keys
        )
        only = {self.good.member_id}
        self.assertEqual((self.good,), inputs.members)
        self.assertEqual(only, set(inputs.announcement_by_id))
        self.assertEqual(only, set(inputs.pair_key_by_id))
        self.assertEqual(4, inputs.version)

    def test_table_has_the_count_of_serving_balancers(self) -> None:
        # Placement divides the work that all balancers send by this count.
        for count in (1, 2):
            names = [f"b{n}" for n in range(count)]
            approved = {
                fixtures.member_id(name): fixtures.balancer(name, "east")
                for name in names
            }
            announced = {
                member_id: membership.Announcement(
                    member_id, 1, 1, 1, addresses.Address("127.0.0.1", 9)
                )
                for member_id in approved
            }
            inputs = views.routing_inputs(
                self.configuration, approved, announced, self.pair_keys
            )
            self.assertEqual(count, inputs.build_table().balancer_count)

    def test_policy_of_an_approved_agent_is_open(self) -> None:
        agent_policy = self._policy("t1")
        self.assertTrue(agent_policy.approved)
        self.assertEqual(
            {fixtures.member_id("b1")}, set(agent_policy.key_by_balancer)
        )

    def test_policy_of_an_unapproved_agent_is_closed(self) -> None:
        for name in ("t2", "b1", "unlisted"):
            self.assertFalse(self._policy(name).approved)
            self.assertEqual(0, self._policy(name).connection_limit)

    def test_policy_of_an_agent_says_that_its_data_centre_is_out(self) -> None:
        rules = documents.Rules(("east",), out=("east",))
        self.configuration.merge(fixtures.document("rules", 5, rules))
        self.assertTrue(self._policy("t1").data_centre_out)

    def test_service_with_another_name_than_its_key_is_left_out(self) -> None:
        wrong = fixtures.document("services/b", 5, documents.Service("a", 8))
        self.configuration.merge(wrong)
        services = self.configuration.service_by_name
        self.assertEqual({"a": documents.Service("a", 7)}, services)

    def test_pair_key_is_computed_once_per_public_key(self) -> None:
        self._policy("t1")
        self._policy("t1")
        self.assertEqual([fixtures.public_key("b1")], self.computed)

    def test_member_without_a_pair_key_is_left_out(self) -> None:
        def refuse(public_key: bytes) -> bytes:
            raise ValueError(public_key)

        self.pair_keys = attrs.evolve(self.pair_keys, compute=refuse)
        self.assertEqual({}, self._policy("t1").key_by_balancer)
