"""Tests of the files in examples/."""

import pathlib
import re
import tempfile
import tomllib
import unittest

from nacl import public
from returns import result as results

from godwitturn.admin import imports
from godwitturn.admin import rules as rules_plans
from godwitturn.core import approval_changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.settings import load
from godwitturn.settings import operator
from godwitturn.settings import schema
from godwitturn.standins import control_fixtures
from godwitturn.standins import deployments

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
DEPLOYMENTS = (deployments.KOLKATA, deployments.PERTH)


def _configuration(
    deployment: deployments.Deployment,
) -> configurations.Configuration:
    path = EXAMPLES / f"{deployment.name}-rules.toml"
    found = operator.load_rules(path).unwrap()
    plan = rules_plans.plan_rules(
        configurations.Configuration(),
        found.rules_document(),
        found.service_documents(),
    )
    assert not plan.refusals, plan.refusals
    configuration = configurations.Configuration()
    for revision, change in enumerate(plan.document_changes, 1):
        configuration.merge(
            control_fixtures.document(change.key, revision, change.after)
        )
    return configuration


def _members(
    deployment: deployments.Deployment,
) -> dict[bytes, documents.Member]:
    path = EXAMPLES / f"{deployment.name}-inventory.csv"
    plan = imports.plan_import(_configuration(deployment), path.read_text())
    assert plan.diff is not None and plan.applicable, plan.bad_rows
    return {
        member.public_key: member
        for change in plan.diff.changes
        for member in change.additions
    }


class TestExamples(unittest.TestCase):
    """Operators copy these files, so they must load and match each other."""

    def setUp(self) -> None:
        # Operators copy the files with mode 0600, which git does not store.
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        for path in EXAMPLES.iterdir():
            copied = self.directory / path.name
            copied.write_bytes(path.read_bytes())
            copied.chmod(0o600)

    def _settings(
        self, deployment: deployments.Deployment, role: str
    ) -> schema.Settings:
        loaded = load.load(self.directory / f"{deployment.name}-{role}.toml")
        self.assertIsInstance(loaded, results.Success, loaded)
        return loaded.unwrap()

    def test_rules_equal_those_of_the_deployment(self) -> None:
        for deployment in DEPLOYMENTS:
            configuration = _configuration(deployment)
            services = configuration.service_by_name.values()
            self.assertEqual(deployment.services, tuple(services))
            self.assertEqual(
                deployment.data_centres, configuration.rules.data_centres
            )

    def test_inventory_has_the_member_counts_of_the_deployment(self) -> None:
        for deployment in DEPLOYMENTS:
            members = _members(deployment).values()
            counts: dict[str, int] = {}
            for member in members:
                counts[member.service] = counts.get(member.service, 0) + 1
            expected = {
                "": deployment.balancer_count,
                **deployment.target_count_by_service,
            }
            self.assertEqual(expected, counts)

    def test_daemons_are_in_the_inventory(self) -> None:
        """Guards against a daemon that could never be approved."""
        for deployment in DEPLOYMENTS:
            members = _members(deployment)
            for role in ("balancer", "agent"):
                settings = self._settings(deployment, role)
                key = public.PrivateKey(settings.identity.secret_key)
                member = members[bytes(key.public_key)]
                self.assertEqual(settings.identity.name, member.name)
                self.assertEqual(settings.data_centre, member.data_centre)
                service = settings.agent.service if settings.agent else ""
                self.assertEqual(service, member.service)
                seeds = {seed.public_key for seed in settings.control.seeds}
                self.assertLessEqual(seeds, set(members))

    def test_operator_can_approve(self) -> None:
        """Guards against a signing key that the daemons do not know."""
        for deployment in DEPLOYMENTS:
            path = self.directory / f"{deployment.name}-operator.toml"
            settings = operator.load(path).unwrap()
            team, key = operator.load_signing_key(settings, path).unwrap()
            daemon = self._settings(deployment, "balancer")
            self.assertEqual(daemon.teams, settings.teams)
            assert daemon.admin is not None
            self.assertEqual(daemon.admin.token, settings.balancers[0].token)
            member = next(iter(_members(deployment).values()))
            found = approval_changes.record_signature(
                documents.MemberList((member,)),
                member.member_id,
                approval_changes.sign_approval(
                    deployment.name, member, team, key
                ),
                deployment=deployment.name,
                team_keys=daemon.teams,
            )
            self.assertIsInstance(found, results.Success)

    def test_every_file_is_tested(self) -> None:
        """Guards against an example that no test loads."""
        kinds = (
            "agent.toml",
            "balancer.toml",
            "inventory.csv",
            "operator.toml",
            "rules.toml",
        )
        expected = {f"{d.name}-{kind}" for d in DEPLOYMENTS for kind in kinds}
        expected |= {f"{d.name}-{d.teams[0]}.key" for d in DEPLOYMENTS}
        self.assertEqual(expected, {path.name for path in EXAMPLES.iterdir()})

    def test_toml_has_comments(self) -> None:
        """Guards against an example without explanations."""
        for path in EXAMPLES.glob("*.toml"):
            text = path.read_text()
            self.assertTrue(tomllib.loads(text))
            self.assertGreaterEqual(text.count("# "), 5, path)


class TestAdminSettings(unittest.TestCase):
    """Guards against an API without a token that other machines can reach."""

    def test_api_without_a_token_is_allowed_only_on_loopback(self) -> None:
        text = (EXAMPLES / "perth-balancer.toml").read_text()
        head, _, tail = text.partition("[admin]\n")
        log = tail[tail.index("[log]") :]
        for address, allowed in (
            ("127.0.0.1:1", True),
            ("[::1]:1", True),
            ("192.0.2.1:1", False),
            ("0.0.0.0:1", False),
        ):
            admin = f'[admin]\naddress = "{address}"\n'
            loaded = load.parse(head + admin + log, file="x.toml")
            self.assertEqual(allowed, isinstance(loaded, results.Success))
            if not allowed:
                (error,) = loaded.failure()
                self.assertEqual("admin.address", error.key)

    def test_balancer_with_an_api_needs_a_store(self) -> None:
        """Guards against a balancer that exits when its API finds no store."""
        text = (EXAMPLES / "perth-balancer.toml").read_text()
        text = re.sub(r'endpoints = \["http.*"\]', "endpoints = []", text)
        (error,) = load.parse(text, file="x.toml").failure()
        self.assertEqual("store.endpoints", error.key)

    def test_api_listens_on_loopback_by_default(self) -> None:
        text = (EXAMPLES / "perth-balancer.toml").read_text()
        head, _, tail = text.partition("[admin]\n")
        log = tail[tail.index("[log]") :]
        loaded = load.parse(head + "[admin]\n" + log, file="x.toml")
        admin = loaded.unwrap().admin
        assert admin is not None
        self.assertEqual("127.0.0.1", admin.address.host)
