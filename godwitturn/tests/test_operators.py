"""Tests of the command line together with real balancers."""

import httpx

from godwitturn.cli import exit_codes
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.tests import cli_fixtures

DEPLOYMENT = cli_fixtures.DEPLOYMENT
TOKEN = DEPLOYMENT.secret("admin").hex()


class TestBalancers(cli_fixtures.StoreTestCase):
    """Every balancer must apply a change that was written to the store."""

    def setUp(self) -> None:
        super().setUp()
        specs = deployments.balancer_specs(DEPLOYMENT)
        control_addresses = [
            f"127.0.0.1:{processes.free_port()}" for _ in specs
        ]
        self.admin_addresses = [
            f"127.0.0.1:{processes.free_port()}" for _ in specs
        ]
        table = processes.ProcessTable(self.directory)
        self.addCleanup(table.kill_all)
        for index, spec in enumerate(specs):
            path = self.directory / f"{spec.name}.toml"
            deployments.write_balancer_settings(
                path,
                DEPLOYMENT,
                spec,
                store_url=self.store_url,
                caller_address="127.0.0.1:0",
                control_address=control_addresses[index],
                seeds=dict(zip(control_addresses, specs, strict=True)),
                admin_address=self.admin_addresses[index],
            )
            command = ["godwitturn", "run-balancer", str(path)]
            table.start(spec.name, command)
        for process in table.process_by_name.values():
            process.wait_ready()
        balancer_tables = "".join(
            f'[[balancers]]\nurl = "http://{address}"\ntoken = "{TOKEN}"\n'
            for address in self.admin_addresses
        )
        with (self.directory / "licensing.toml").open("a") as settings:
            settings.write(balancer_tables)
        (self.directory / "licensing.toml").chmod(0o600)

    def _is_in_force(self, revision: int) -> bool:
        result = self.cli("status", "--json")
        return result.exit_code == 0 and all(
            balancer["version"] >= revision and not balancer["fenced"]
            for balancer in result.values["balancers"]
        )

    def test_change_comes_into_force(self) -> None:
        """Guards against a stored change that balancers do not apply."""
        self.import_all()
        for team in DEPLOYMENT.teams:
            result = self.cli("approve", "--all-waiting", team=team)
            self.assertEqual(
                exit_codes.ExitCode.DONE, result.exit_code, result
            )
        result = self.cli("data-centre-out", "howrah", "--json")
        revision = result.values["changes"][0]["revision"]
        cli_fixtures.wait_until(lambda: self._is_in_force(revision))
        response = httpx.put(
            f"http://{self.admin_addresses[0]}/v1/data-centres/howrah",
            json={"out": False},
            headers={"authorization": f"Bearer {TOKEN}"},
        )
        self.assertEqual(200, response.status_code, response.text)
        revision = response.json()["changes"][0]["revision"]
        cli_fixtures.wait_until(lambda: self._is_in_force(revision))
        self.assertEqual([], self.configuration()["rules"]["out"])
