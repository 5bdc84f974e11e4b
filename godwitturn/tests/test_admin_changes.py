"""Tests of the changes that the administration API makes."""

import unittest

import attrs
import trio

from godwitturn.core import events
from godwitturn.tests import admin_fixtures
from godwitturn.tests import cli_fixtures

WITHDRAWALS_PATH = "/v1/members/withdrawals"


class TestChanges(unittest.TestCase):
    """A request must have the effect of its subcommand, or be refused."""

    def test_approval_needs_the_signature_of_its_team(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            path = "/v1/members/approvals"
            name = "permit-desk-1"
            for team in admin_fixtures.DEPLOYMENT.teams:
                body = admin_fixtures.approvals_body(
                    team, team, name, "onboard-core-0"
                )
                response = await api_server.send("POST", path, body)
                self.assertEqual(200, response.status_code, response.text)
            member = (await api_server.member_by_name())[name]
            self.assertEqual("approved", member["state"])
            body = admin_fixtures.approvals_body(
                "licensing", "operations", "permit-desk-2"
            )
            response = await api_server.send("POST", path, body)
            self.assertEqual(422, response.status_code)
            self.assertEqual(
                "signature", admin_fixtures.errors_of(response)[0]["field"]
            )

        admin_fixtures.run_with_api(test)

    def test_withdrawal_is_signed_by_its_team(self) -> None:
        """Guards against changing approvals with the admin token alone.

        With the token alone, nobody can withdraw an approval, or end a
        withdrawal by sending an old approval again.
        """

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            name = "permit-desk-1"
            approvals, path = "/v1/members/approvals", WITHDRAWALS_PATH
            for team in admin_fixtures.DEPLOYMENT.teams:
                body = admin_fixtures.approvals_body(team, team, name)
                await api_server.send("POST", approvals, body)
            unsigned = {"team": "licensing", "members": [name]}
            response = await api_server.send("POST", path, unsigned)
            self.assertEqual(400, response.status_code)
            body = admin_fixtures.withdrawals_body(
                "licensing", "operations", name
            )
            response = await api_server.send("POST", path, body)
            self.assertEqual(422, response.status_code)
            self.assertEqual(
                "signature", admin_fixtures.errors_of(response)[0]["field"]
            )
            member = (await api_server.member_by_name())[name]
            self.assertEqual("approved", member["state"])
            body = admin_fixtures.withdrawals_body(
                "licensing", "licensing", name
            )
            response = await api_server.send("POST", path, body)
            self.assertEqual(200, response.status_code)
            member = (await api_server.member_by_name())[name]
            self.assertEqual(["licensing"], member["missing"])
            self.assertEqual(["licensing"], member["withdrawn_by"])
            self.assertEqual(
                {"approval": 1, "withdrawal": 0},
                member["next_sequences"]["licensing"],
            )
            body = admin_fixtures.approvals_body(
                "licensing", "licensing", name
            )
            response = await api_server.send("POST", approvals, body)
            self.assertEqual(422, response.status_code)
            self.assertEqual(
                "sequence", admin_fixtures.errors_of(response)[0]["field"]
            )

        admin_fixtures.run_with_api(test)

    def test_documents_that_cannot_be_decoded_are_named(self) -> None:
        """Guards against an undecodable document that appears to be absent."""

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            repository = api_server.state.repository
            key = repository.prefix + "services/newsdesk"
            await repository._client.put(key, b"\xc1 not msgpack")
            response = await api_server.send("GET", "/v1/configuration")
            self.assertEqual(200, response.status_code)
            values = response.json()
            self.assertEqual(["services/newsdesk"], values["undecodable"])
            self.assertNotIn("services/newsdesk", values["documents"])

        admin_fixtures.run_with_api(test)

    def test_targets_are_drained_and_other_members_refused(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            body = {"members": ["onboard-core-2"], "draining": True}
            path = "/v1/members/draining"
            response = await api_server.send("POST", path, body)
            self.assertEqual(200, response.status_code)
            member = (await api_server.member_by_name())["onboard-core-2"]
            self.assertTrue(member["draining"])
            self.assertEqual(
                events.EventId.ADMIN_CHANGE, api_server.log_events[-1].event_id
            )
            body["members"] = ["kolkata-balancer-0"]
            response = await api_server.send("POST", path, body)
            self.assertEqual(422, response.status_code)
            self.assertEqual(
                "a target", admin_fixtures.errors_of(response)[0]["allowed"]
            )

        admin_fixtures.run_with_api(test)

    def test_only_a_known_data_centre_is_taken_out_and_in(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            path = "/v1/data-centres/durgapur"
            for out in (True, False):
                response = await api_server.send("PUT", path, {"out": out})
                self.assertEqual(200, response.status_code)
                names = ["durgapur"] if out else []
                self.assertEqual(names, (await api_server.rules())["out"])
            path = "/v1/data-centres/durgapor"
            response = await api_server.send("PUT", path, {"out": True})
            self.assertEqual(422, response.status_code)
            error = admin_fixtures.errors_of(response)[0]
            self.assertEqual("durgapor", error["value"])
            self.assertIn("durgapur", error["allowed"])

        admin_fixtures.run_with_api(test)

    def test_rules_change_only_when_applied_and_valid(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            body = admin_fixtures.rules_body()
            body["rules"]["ramp_seconds"] = 60
            response = await api_server.send("PUT", "/v1/rules", body)
            (difference,) = response.json()["differences"]
            self.assertEqual("ramp_seconds", difference["field"])
            self.assertEqual(30, (await api_server.rules())["ramp_seconds"])
            body["services"]["newsdesk"] = {"service_id": 2}
            path = "/v1/rules?apply=true"
            response = await api_server.send("PUT", path, body)
            self.assertEqual(422, response.status_code)
            self.assertIn("permit-desk has this one", response.text)
            self.assertEqual(30, (await api_server.rules())["ramp_seconds"])
            del body["services"]["newsdesk"]
            response = await api_server.send("PUT", path, body)
            self.assertEqual(200, response.status_code)
            self.assertEqual(60, (await api_server.rules())["ramp_seconds"])

        admin_fixtures.run_with_api(test)

    def test_refused_or_unapplied_import_changes_no_member(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            before = await api_server.member_by_name()
            members = cli_fixtures.all_members()
            members[4] = attrs.evolve(members[4], weight=2.0)
            members[5] = attrs.evolve(members[5], data_centre="perth")
            text = cli_fixtures.inventory_text(members)
            response = await api_server.import_csv(text, "?apply=true")
            self.assertEqual(422, response.status_code)
            (error,) = admin_fixtures.errors_of(response)
            self.assertEqual(
                (7, "data_centre", "perth"),
                (error["line"], error["field"], error["value"]),
            )
            truncated_text = cli_fixtures.inventory_text(
                cli_fixtures.all_members()[:4]
            )
            response = await api_server.import_csv(
                truncated_text, "?apply=true"
            )
            self.assertEqual(422, response.status_code)
            response = await api_server.import_csv(
                truncated_text, "?allow_mass_departure=true"
            )
            self.assertEqual(200, response.status_code)
            self.assertEqual(before, await api_server.member_by_name())

        admin_fixtures.run_with_api(test)


class TestRepeats(unittest.TestCase):
    """A request must not make its change twice, or undo another change."""

    def test_repeat_with_a_used_key_changes_nothing(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            path = "/v1/data-centres/howrah"
            for out, key in ((True, "a-1"), (False, "a-2"), (True, "a-1")):
                response = await api_server.send(
                    "PUT", path, {"out": out}, idempotency_key=key
                )
                self.assertEqual(200, response.status_code)
                self.assertEqual(key, response.json()["operation_id"])
            self.assertEqual([], (await api_server.rules())["out"])

        admin_fixtures.run_with_api(test)

    def test_invalid_idempotency_key_is_refused(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            for key in ("", "a b", "x" * 101):
                response = await api_server.send(
                    "PUT",
                    "/v1/data-centres/howrah",
                    {"out": True},
                    idempotency_key=key,
                )
                self.assertEqual(400, response.status_code)
                error = admin_fixtures.errors_of(response)[0]
                self.assertEqual("Idempotency-Key", error["field"])

        admin_fixtures.run_with_api(test)

    def test_true_outcome_is_reported_after_lost_answers(self) -> None:
        """Guards against reporting a change that took effect as failed."""

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            path = "/v1/data-centres/howrah"
            api_server.store.set_faults({"lost_answers": 1})
            response = await api_server.send("PUT", path, {"out": True})
            self.assertEqual(200, response.status_code)
            api_server.store.set_faults({"lost_answers": 1000})
            response = await api_server.send("PUT", path, {"out": False})
            self.assertEqual(504, response.status_code, response.text)
            self.assertEqual(
                "may_have_taken_effect",
                admin_fixtures.errors_of(response)[0]["type"],
            )
            key = response.json()["operation_id"]
            api_server.store.set_faults({"lost_answers": 0})
            response = await api_server.send(
                "PUT", path, {"out": False}, idempotency_key=key
            )
            self.assertEqual(200, response.status_code)
            self.assertTrue(response.json()["changes"][0]["written"])
            self.assertEqual([], (await api_server.rules())["out"])

        admin_fixtures.run_with_api(test)

    def test_one_of_two_concurrent_changes_is_refused(self) -> None:
        """Guards against two changes of one revision that both succeed."""

        async def test(api_server: admin_fixtures.ApiServer) -> None:
            await api_server.fill_store()
            api_server.store.set_faults(
                {"delayed_writes": 2, "write_delay_seconds": 0.5}
            )
            statuses = []

            async def take_out(name: str) -> None:
                path = f"/v1/data-centres/{name}"
                response = await api_server.send("PUT", path, {"out": True})
                statuses.append(response.status_code)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_out, "howrah")
                nursery.start_soon(take_out, "salt-lake")
            self.assertEqual([200, 409], sorted(statuses))
            self.assertEqual(1, len((await api_server.rules())["out"]))

        admin_fixtures.run_with_api(test)

    def test_unreachable_store_is_answered_with_503(self) -> None:
        async def test(api_server: admin_fixtures.ApiServer) -> None:
            api_server.store.set_faults({"down": True})
            response = await api_server.send("GET", "/v1/members")
            self.assertEqual(503, response.status_code)
            path = "/v1/data-centres/howrah"
            response = await api_server.send("PUT", path, {"out": True})
            self.assertEqual(503, response.status_code)
            self.assertIn("retry-after", response.headers)
            self.assertEqual(
                "store_unreachable",
                admin_fixtures.errors_of(response)[0]["type"],
            )

        admin_fixtures.run_with_api(test)
