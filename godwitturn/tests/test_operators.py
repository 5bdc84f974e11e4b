"""Tests of the command line together with real balancers."""

import httpx

from godwitturn.cli import exit_codes
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.tests import cli_fixtures

DEPLOYMENT = cli_fixtures.DEPLOYMENT
TOKEN = DEPLOYMENT.secret("admin").hex()


class TestBalancers(cli_fixtures.StoreTestCase):
    """A change that took effect must come into force at every balancer."""

    def setUp(self) -> None:
        super().setUp()
        plans = deployments.balancer_specs(DEPLOYMENT)
        control = [f"127.0.0.1:{processes.free_port()}" for _ in plans]
        self.admin = [f"127.0.0.1:{processes.free_port()}" for _ in plans]
        table = processes.ProcessTable(self.directory)
        self.addCleanup(table.kill_all)
        for index, plan in enumerate(plans):
            path = self.directory / f"{plan.name}.toml"
            deployments.write_balancer_settings(
                path,
                DEPLOYMENT,
                plan,
                store_url=self.store_url,
                caller_address="127.0.0.1:0",
                control_address=control[index],
                seeds=dict(zip(control, plans, strict=True)),
                admin_address=self.admin[index],
            )
            words = ["godwitturn", "run-balancer", str(path)]
            table.start(plan.name, words)
        for process in table.process_by_name.values():
            process.wait_ready()
        balancers = "".join(
            f'[[balancers]]\nurl = "http://{address}"\ntoken = "{TOKEN}"\n'
            for address in self.admin
        )
        with (self.directory / "licensing.toml").open("a") as settings:
            settings.write(balancers)
        (self.directory / "licensing.toml").chmod(0o600)

    def _in_force(self, revision: int) -> bool:
        ended = self.cli("status", "--json")
        return ended.exit_code == 0 and all(
            found["version"] >= revision and not found["fenced"]
            for found in ended.values["balancers"]
        )

    def test_change_comes_into_force(self) -> None:
        """Guards against a change that is stored but reaches nobody."""
        self.import_all()
        for team in DEPLOYMENT.teams:
            ended = self.cli("approve", "--all-waiting", team=team)
            self.assertEqual(exit_codes.ExitCode.DONE, ended.exit_code, ended)
        ended = self.cli("data-centre-out", "howrah", "--json")
        revision = ended.values["changes"][0]["revision"]
        cli_fixtures.wait_until(lambda: self._in_force(revision))
        answer = httpx.put(
            f"http://{self.admin[0]}/v1/data-centres/howrah",
            json={"out": False},
            headers={"authorization": f"Bearer {TOKEN}"},
        )
        self.assertEqual(200, answer.status_code, answer.text)
        revision = answer.json()["changes"][0]["revision"]
        cli_fixtures.wait_until(lambda: self._in_force(revision))
        self.assertEqual([], self.shown()["rules"]["out"])
