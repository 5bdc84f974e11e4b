"""Runs the administration API and a store stand-in on loopback."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import attrs
import httpx
import trio

from godwitturn.admin import api
from godwitturn.admin import server
from godwitturn.admin import state as states
from godwitturn.core import addresses
from godwitturn.core import approval_changes
from godwitturn.core import events
from godwitturn.core import membership
from godwitturn.core import store_position
from godwitturn.etcd import repository as repositories
from godwitturn.etcd import store
from godwitturn.metrics import registry as registries
from godwitturn.standins import deployments
from godwitturn.standins.store import application as store_application
from godwitturn.standins.store import service as store_service
from godwitturn.tests import cli_fixtures

DEPLOYMENT = cli_fixtures.DEPLOYMENT
TOKEN = bytes(range(32))
AUTHORISED = {"authorization": f"Bearer {TOKEN.hex()}"}
LOOPBACK = addresses.Address("127.0.0.1", 0)
TEAM_KEYS = deployments.signing_keys(DEPLOYMENT)


@attrs.define
class StubState:
    """Stand-in for the state of a balancer."""

    repository: repositories.Repository
    position: store_position.StorePosition = store_position.StorePosition(
        0, 41
    )
    fenced: bool = False
    members: dict[int, membership.Announcement] = attrs.field(factory=dict)
    registry: registries.Registry = attrs.field(factory=registries.Registry)


@attrs.define
class ApiServer:
    """A running API with a store of its own."""

    state: StubState
    store: store_service.StoreService
    url: str
    client: httpx.AsyncClient
    log_events: list[events.LogEvent]

    async def send(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> httpx.Response:
        header_by_name = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return await self.client.request(
            method, path, json=body, headers={**AUTHORISED, **header_by_name}
        )

    async def import_csv(self, text: str, query: str = "") -> httpx.Response:
        return await self.client.put(
            f"/v1/inventory{query}",
            content=text,
            headers={**AUTHORISED, "content-type": "text/csv"},
        )

    async def fill_store(self) -> None:
        """Stores the rules, services and members of kolkata."""
        response = await self.send("PUT", "/v1/rules?apply=true", rules_body())
        assert response.status_code == 200, response.text
        text = cli_fixtures.inventory_text(cli_fixtures.all_members())
        response = await self.import_csv(text, "?apply=true")
        assert response.status_code == 200, response.text

    async def rules(self) -> Any:
        response = await self.send("GET", "/v1/configuration")
        return response.json()["rules"]

    async def member_by_name(self) -> dict[str, Any]:
        response = await self.send("GET", "/v1/members")
        return {m["name"]: m for m in response.json()["members"]}


def rules_body() -> dict[str, Any]:
    return {
        "rules": {"data_centres": list(DEPLOYMENT.data_centres)},
        "services": {
            service.name: {"service_id": service.service_id}
            for service in DEPLOYMENT.services
        },
    }


def approvals_body(team: str, signer: str, *names: str) -> dict[str, Any]:
    member_by_name = {
        member.name: member for member in cli_fixtures.all_members()
    }
    approval_by_name = {
        name: approval_changes.sign_approval(
            DEPLOYMENT.name, member_by_name[name], team, TEAM_KEYS[signer]
        )
        for name in names
    }
    return {
        "team": team,
        "approvals": [
            {"member": name, "signature": approval.signature.hex()}
            for name, approval in approval_by_name.items()
        ],
    }


def withdrawals_body(team: str, signer: str, name: str) -> dict[str, Any]:
    member_by_name = {
        member.name: member for member in cli_fixtures.all_members()
    }
    withdrawal = approval_changes.sign_withdrawal(
        DEPLOYMENT.name, member_by_name[name], team, TEAM_KEYS[signer]
    )
    values = {"member": name, "signature": withdrawal.signature.hex()}
    return {"team": team, "withdrawals": [values]}


@contextlib.asynccontextmanager
async def start_api(token: bytes = TOKEN) -> AsyncIterator[ApiServer]:
    service = store_service.StoreService()
    log_events: list[events.LogEvent] = []
    async with trio.open_nursery() as nursery:
        port = await nursery.start(store_application.serve, service)
        async with store.StoreClient([f"http://127.0.0.1:{port}"]) as client:
            repository = repositories.Repository(
                client, DEPLOYMENT.name, trio.current_time
            )
            state = StubState(repository)
            options = states.Options(
                "entry-1",
                "howrah",
                DEPLOYMENT.name,
                {
                    team: bytes(key.verify_key)
                    for team, key in TEAM_KEYS.items()
                },
                token,
                log_events.append,
                timeout_seconds=1.5,
            )
            (url,) = await nursery.start(
                server.serve, api.application(state, options), LOOPBACK
            )
            async with httpx.AsyncClient(base_url=url, timeout=60) as http:
                yield ApiServer(state, service, url, http, log_events)
        nursery.cancel_scope.cancel()


def run_with_api(
    test: Callable[[ApiServer], Awaitable[None]], token: bytes = TOKEN
) -> None:
    """Runs a test function with a running API."""

    async def main() -> None:
        with trio.fail_after(120):
            async with start_api(token) as api_server:
                await test(api_server)

    trio.run(main)


def errors_of(response: httpx.Response) -> list[dict[str, Any]]:
    errors: list[dict[str, Any]] = response.json()["errors"]
    return errors
