"""Tests of the changes of single documents."""

from typing import Any
import unittest

import attrs
from returns import result as results

from godwitturn.core import changes
from godwitturn.core import documents
from godwitturn.core import inventory
from godwitturn.standins import control_fixtures

DEPLOYMENT = control_fixtures.DEPLOYMENT
TARGET = control_fixtures.target("t1", "styledesk", "midland")
BALANCER = control_fixtures.balancer("b1", "midland")
DEPARTED = attrs.evolve(
    control_fixtures.target("t2", "styledesk", "midland"), departed=True
)
LIST = documents.MemberList((TARGET, DEPARTED, BALANCER))
RULES = documents.Rules(("midland", "subiaco"), ("subiaco",))


def _refusal_of(
    result: results.Result[Any, changes.Refusal],
) -> changes.Refusal:
    assert isinstance(result, results.Failure), result
    return result.failure()


class TestDraining(unittest.TestCase):
    """The mark must change one target and nothing else."""

    def test_sets_and_clears_the_mark(self) -> None:
        marked = changes.set_draining(LIST, TARGET.member_id, True).unwrap()
        self.assertTrue(marked.members[0].draining)
        self.assertEqual(LIST.members[1:], marked.members[1:])
        back = changes.set_draining(marked, TARGET.member_id, False)
        self.assertEqual(LIST, back.unwrap())

    def test_rejects_a_balancer(self) -> None:
        result = changes.set_draining(LIST, BALANCER.member_id, True)
        self.assertEqual("a target", _refusal_of(result).allowed)

    def test_rejects_an_absent_document(self) -> None:
        result = changes.set_draining(None, TARGET.member_id, True)
        self.assertEqual("member", _refusal_of(result).field)


class TestDataCentres(unittest.TestCase):
    """Unknown names and taking out the last data centre must be rejected."""

    def test_takes_out_and_puts_back(self) -> None:
        rules = documents.Rules(("midland", "subiaco"))
        out = changes.set_data_centre_out(rules, "subiaco").unwrap()
        self.assertEqual(("subiaco",), out.out)
        self.assertEqual(
            out, changes.set_data_centre_out(out, "subiaco").unwrap()
        )
        self.assertEqual(
            rules, changes.set_data_centre_in(out, "subiaco").unwrap()
        )

    def test_rejects_an_unknown_name(self) -> None:
        for result in (
            changes.set_data_centre_out(RULES, "midlandd"),
            changes.set_data_centre_in(RULES, "midlandd"),
            changes.set_data_centre_out(None, "midlandd"),
        ):
            self.assertEqual("midlandd", _refusal_of(result).value)

    def test_last_data_centre_needs_the_override(self) -> None:
        refusal = _refusal_of(changes.set_data_centre_out(RULES, "midland"))
        self.assertIn("not the last", refusal.allowed)
        out = changes.set_data_centre_out(
            RULES, "midland", allow_none_left=True
        )
        self.assertEqual(("subiaco", "midland"), out.unwrap().out)


class TestRules(unittest.TestCase):
    """Rules that contradict the configuration must not be stored."""

    def _set(self, wanted: documents.Rules) -> changes.RulesResult:
        return changes.set_rules(
            RULES,
            wanted,
            services=("styledesk", "guideshelf"),
            used_data_centres=("midland",),
        )

    def test_data_centres_out_are_kept(self) -> None:
        """Guards against a rules file that undoes `set_data_centre_out`."""
        wanted = attrs.evolve(RULES, out=(), cold_fraction=0.2)
        after = self._set(wanted).unwrap()
        self.assertEqual(("subiaco",), after.out)
        self.assertEqual(0.2, after.cold_fraction)

    def test_rejects_bad_values(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "data_centres": {"data_centres": ("subiaco",)},
            "apart": {"apart": (("styledesk", "styledesk"),)},
            "cold_fraction": {"cold_fraction": 0.0},
            "ramp_seconds": {"ramp_seconds": float("nan")},
            "return_seconds": {"return_seconds": -1.0},
        }
        for field, change in cases.items():
            result = self._set(attrs.evolve(RULES, **change))
            self.assertEqual(field, _refusal_of(result).field)
        for names in (("midland",), ("midland", "subiaco", "a b")):
            result = self._set(attrs.evolve(RULES, data_centres=names))
            self.assertEqual("data_centres", _refusal_of(result).field)
        unknown = attrs.evolve(RULES, apart=(("styledesk", "x"),))
        refusal = _refusal_of(self._set(unknown))
        self.assertEqual("styledesk, x", refusal.value)
        self.assertIn("guideshelf, styledesk", refusal.allowed)


class TestServices(unittest.TestCase):
    """A service id is part of tokens and must stay unique and unchanged."""

    PRESENT = documents.Service("styledesk", 3)
    SERVICES = (PRESENT, documents.Service("guideshelf", 4))

    def test_changes_limits(self) -> None:
        wanted = attrs.evolve(self.PRESENT, slots=5)
        result = changes.set_service(
            self.PRESENT, wanted, services=self.SERVICES
        )
        self.assertEqual(wanted, result.unwrap())

    def test_rejects_id_of_another_service(self) -> None:
        wanted = documents.Service("newsdesk", 4)
        result = changes.set_service(None, wanted, services=self.SERVICES)
        self.assertIn("guideshelf has this one", _refusal_of(result).allowed)

    def test_rejects_a_changed_id(self) -> None:
        """Guards against a change that invalidates the tokens of flows."""
        wanted = attrs.evolve(self.PRESENT, service_id=9)
        result = changes.set_service(
            self.PRESENT, wanted, services=self.SERVICES
        )
        self.assertEqual("service_id", _refusal_of(result).field)

    def test_accepts_the_change_of_a_shared_id(self) -> None:
        """Guards against two services that keep one id after a race."""
        duplicate = documents.Service("newsdesk", 3)
        wanted = attrs.evolve(duplicate, service_id=5)
        services = (*self.SERVICES, duplicate)
        result = changes.set_service(duplicate, wanted, services=services)
        self.assertEqual(wanted, result.unwrap())

    def test_rejects_values_out_of_range(self) -> None:
        for change in ({"service_id": 0}, {"slots": 0}, {"name": "a/b"}):
            values: dict[str, Any] = {"name": "x", "service_id": 9, **change}
            wanted = documents.Service(**values)
            result = changes.set_service(None, wanted, services=())
            self.assertEqual(next(iter(change)), _refusal_of(result).field)


class TestApplyDocumentChange(unittest.TestCase):
    """A diff must not undo changes made after it was computed."""

    def test_keeps_later_approval_and_draining_mark(self) -> None:
        change = inventory.DocumentChange(
            "members/styledesk",
            edits=(inventory.Edit(TARGET, attrs.evolve(TARGET, weight=2.0)),),
        )
        later = attrs.evolve(control_fixtures.signed(TARGET), draining=True)
        after = changes.apply_document_change(
            documents.MemberList((later,)), change
        )
        expected = attrs.evolve(later, weight=2.0)
        self.assertEqual((expected,), after.unwrap().members)

    def test_rejects_member_that_departed_meanwhile(self) -> None:
        """Guards against a race that lists a departed id again."""
        departed = attrs.evolve(TARGET, departed=True)
        present = documents.MemberList((departed,))
        addition = inventory.DocumentChange("k", additions=(TARGET,))
        edit = inventory.DocumentChange(
            "k", edits=(inventory.Edit(TARGET, TARGET),)
        )
        for change in (addition, edit):
            result = changes.apply_document_change(present, change)
            self.assertEqual("t1", _refusal_of(result).value)

    def test_rejects_departure_of_an_unlisted_member(self) -> None:
        change = inventory.DocumentChange("k", departures=(TARGET,))
        self.assertEqual(
            "t1",
            _refusal_of(changes.apply_document_change(None, change)).value,
        )
