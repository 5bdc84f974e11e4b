"""The administration API of a balancer, an ASGI application."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import hmac
from typing import Any

import attrs
from returns import result as results
from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from godwitturn.admin import api_types
from godwitturn.admin import imports
from godwitturn.admin import messages
from godwitturn.admin import operations
from godwitturn.admin import rules as rules_plans
from godwitturn.admin import state as states
from godwitturn.admin import views
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import events
from godwitturn.core import inventory
from godwitturn.metrics import exposition
from godwitturn.settings import operator

_Receive = Callable[[], Awaitable[Any]]


@attrs.frozen
class _Api:
    """Handlers of all requests."""

    state: states.DaemonState
    options: states.Options

    def _context(self) -> operations.Context:
        return operations.Context(
            self.state.repository,
            self.options.deployment,
            self.options.team_keys,
            trio.current_time,
            self.options.timeout_seconds,
        )

    async def _configuration(self) -> configurations.Configuration:
        reading = await operations.read(self._context())
        if isinstance(reading, results.Failure):
            failure = reading.failure()
            raise messages.Refused(503, "store_unreachable", [failure.detail])
        return reading.unwrap()

    def _changed(
        self,
        found: Sequence[operations.ChangeResult],
        operation: operations.Operation,
        **values: Any,
    ) -> responses.Response:
        for change in found:
            fields = {
                "operation": change.operation_id,
                "document": change.key or "-",
                "verdict": change.verdict.name.lower(),
                "written": change.written,
            }
            event_id = events.EventId.ADMIN_CHANGE
            self.options.log(events.LogEvent(event_id, fields))
        return messages.changed(found, operation, **values)

    async def status(self, _: requests.Request) -> responses.Response:
        """Tells the balancer's state."""
        members = sorted(self.state.members.items())
        return responses.JSONResponse(
            {
                "name": self.options.name,
                "data_centre": self.options.data_centre,
                "deployment": self.options.deployment,
                "version": self.state.version,
                "fenced": self.state.fenced,
                "members": [
                    {
                        "id": changes.format_member_id(member_id),
                        "state": announcement.state.name.lower(),
                        "address": list(announcement.address),
                        "start_number": announcement.start_number,
                    }
                    for member_id, announcement in members
                ],
                "counters": self.state.registry.totals(),
            }
        )

    async def metrics(self, _: requests.Request) -> responses.Response:
        """Tells all metrics in the Prometheus text format."""
        text = exposition.format_metrics(self.state.registry)
        headers = {"content-type": exposition.CONTENT_TYPE}
        return responses.Response(text, headers=headers)

    async def configuration(self, _: requests.Request) -> responses.Response:
        """Tells rules and services."""
        found = await self._configuration()
        return responses.JSONResponse(views.configuration_values(found))

    async def members(self, _: requests.Request) -> responses.Response:
        """Tells all members and their approval state."""
        configuration = await self._configuration()
        # Verifying the signatures of 4,130 members takes 0.4 s.
        rows = await trio.to_thread.run_sync(
            views.member_rows,
            configuration,
            self.options.deployment,
            self.options.team_keys,
        )
        values = [views.member_values(row) for row in rows]
        return responses.JSONResponse({"members": values})

    async def approve(self, request: requests.Request) -> responses.Response:
        """Adds a team's signatures."""
        operation = messages.operation_of(request)
        wanted: api_types.Approvals = await messages.values_of(
            request, api_types.Approvals
        )
        signed = functools.partial(documents.Approval, wanted.team)
        return await self._record(wanted.approvals, signed, operation)

    async def withdraw(self, request: requests.Request) -> responses.Response:
        """Withdraws a team's approvals."""
        operation = messages.operation_of(request)
        wanted: api_types.Withdrawals = await messages.values_of(
            request, api_types.Withdrawals
        )
        signed = functools.partial(documents.Withdrawal, wanted.team)
        return await self._record(wanted.withdrawals, signed, operation)

    async def _record(
        self,
        given: Sequence[api_types.Signature],
        signed: Callable[
            [bytes, int], documents.Approval | documents.Withdrawal
        ],
        operation: operations.Operation,
    ) -> responses.Response:
        """Records signatures of one team, which `signed` makes typed."""
        _check_count(len(given))
        by_name = {found.member: found for found in given}

        def signed_of(
            member: documents.Member,
        ) -> documents.Approval | documents.Withdrawal:
            found = _signature_of(by_name, member)
            return signed(found.signature, found.sequence)

        found = await operations.record_signatures(
            self._context(), by_name, signed_of, operation
        )
        return self._changed(found, operation)

    async def draining(self, request: requests.Request) -> responses.Response:
        """Marks targets as draining or not."""
        operation = messages.operation_of(request)
        wanted: api_types.Draining = await messages.values_of(
            request, api_types.Draining
        )
        _check_count(len(wanted.members))
        found = await operations.set_draining(
            self._context(), wanted.members, wanted.draining, operation
        )
        return self._changed(found, operation)

    async def data_centre(
        self, request: requests.Request
    ) -> responses.Response:
        """Takes a data centre out or in."""
        operation = messages.operation_of(request)
        wanted: api_types.DataCentre = await messages.values_of(
            request, api_types.DataCentre
        )
        name = request.path_params["name"]
        if wanted.out:
            outcome = await operations.set_data_centre_out(
                self._context(),
                name,
                operation,
                allow_none_left=wanted.allow_none_left,
            )
        else:
            outcome = await operations.set_data_centre_in(
                self._context(), name, operation
            )
        return self._changed([outcome], operation)

    async def rules(self, request: requests.Request) -> responses.Response:
        """Compares or sets rules and services."""
        operation = messages.operation_of(request)
        apply = api_types.switch_of(request, "apply")
        wanted: operator.RulesFile = await messages.values_of(
            request, operator.RulesFile
        )
        errors = operator.validate_rules(wanted, "body")
        if errors:
            raise messages.Refused(400, "bad_request", errors)
        plan = rules_plans.plan_rules(
            await self._configuration(),
            wanted.rules_document(),
            wanted.service_documents(),
        )
        values = {"differences": views.rules_plan_values(plan)}
        if plan.refusals:
            return messages.error_response(
                422, "refused", plan.refusals, **values
            )
        if not apply:
            return responses.JSONResponse(values)
        found = await rules_plans.apply_rules(self._context(), plan, operation)
        return self._changed(found, operation, **values)

    async def inventory(self, request: requests.Request) -> responses.Response:
        """Compares or imports an inventory file."""
        operation = messages.operation_of(request)
        apply = api_types.switch_of(request, "apply")
        mass = api_types.switch_of(request, "allow_mass_departure")
        text = await messages.text_of(request, messages.CSV_TYPE)
        plan_import = functools.partial(
            imports.plan_import,
            await self._configuration(),
            text,
            allowed_share=1.0 if mass else inventory.MAX_DEPARTING_SHARE,
        )
        # Reading 4,130 rows takes 0.16 s.
        plan = await trio.to_thread.run_sync(plan_import)
        values = {"plan": views.import_plan_values(plan)}
        if not plan.applicable:
            errors = [*plan.bad_rows, *plan.mass_departures]
            return messages.error_response(422, "refused", errors, **values)
        if not apply:
            return responses.JSONResponse(values)
        found = await imports.apply_import(self._context(), plan, operation)
        return self._changed(found, operation, **values)

    def routes(self) -> list[routing.Route]:
        """Returns all routes."""
        route = routing.Route
        post, put = ["POST"], ["PUT"]
        return [
            route("/status", self.status),
            route("/metrics", self.metrics),
            route("/v1/configuration", self.configuration),
            route("/v1/members", self.members),
            route("/v1/members/approvals", self.approve, methods=post),
            route("/v1/members/withdrawals", self.withdraw, methods=post),
            route("/v1/members/draining", self.draining, methods=post),
            route("/v1/data-centres/{name}", self.data_centre, methods=put),
            route("/v1/rules", self.rules, methods=put),
            route("/v1/inventory", self.inventory, methods=put),
        ]


def _signature_of(
    by_name: Mapping[str, api_types.Signature], member: documents.Member
) -> api_types.Signature:
    member_id = changes.format_member_id(member.member_id)
    return by_name.get(member.name) or by_name[member_id]


def _check_count(count: int) -> None:
    limit = api_types.MAX_MEMBERS
    if not 1 <= count <= limit:
        refusal = changes.Refusal("members", str(count), f"1 to {limit} items")
        raise messages.Refused(400, "bad_request", [refusal])


async def _on_refused(
    _: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, messages.Refused)
    return messages.error_response(error.status, error.kind, error.errors)


async def _on_http(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, exceptions.HTTPException)
    text = f"{request.method} {request.url.path}: {error.detail}"
    kind = "no_such_path" if error.status_code == 404 else "bad_method"
    return messages.error_response(error.status_code, kind, [text])


async def _lifespan(receive: Any, send: Any) -> None:
    # Nothing starts or ends with the server. Starlette's own handler reports
    # a cancellation as a failure, and hypercorn turns that into an exception.
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _receive_within(receive: _Receive, seconds: float) -> _Receive:
    """Returns a function that receives a body with a deadline."""
    deadline = trio.current_time() + seconds

    async def receive_in_time() -> Any:
        with trio.move_on_at(deadline):
            return await receive()
        allowed = f"a whole request within {seconds} s"
        refusal = changes.Refusal("body", "(incomplete)", allowed)
        raise messages.Refused(408, "request_timeout", [refusal])

    return receive_in_time


@attrs.frozen
class AdminApplication:
    """Lets only requests with the bearer token through.

    Attributes:
        options: With the token; without one, every request is let through.
        inner: The application behind it.
    """

    options: states.Options
    inner: Callable[..., Awaitable[None]]

    @property
    def has_token(self) -> bool:
        """Whether requests need a token."""
        return bool(self.options.token)

    def _allowed(self, scope: Any) -> bool:
        if not self.has_token:
            return True
        given = dict(scope["headers"]).get(b"authorization", b"")
        scheme, _, token = given.partition(b" ")
        expected = self.options.token.hex().encode()
        equal = hmac.compare_digest(token.strip().lower(), expected)
        return equal and scheme.lower() == b"bearer"

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request, or the server's start and end."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        if scope["type"] != "http":
            await send({"type": "websocket.close"})
            return
        if self._allowed(scope):
            body_seconds = self.options.body_seconds
            bounded = _receive_within(receive, body_seconds)
            await self.inner(scope, bounded, send)
            return
        client = scope.get("client") or ("-", 0)
        event_id = events.EventId.ADMIN_UNAUTHORISED
        self.options.log(events.LogEvent(event_id, {"client": client[0]}))
        refusal = changes.Refusal(
            "Authorization", "(secret value)", "Bearer and the admin token"
        )
        response = messages.error_response(401, "unauthorised", [refusal])
        await response(scope, receive, send)


def application(
    state: states.DaemonState, options: states.Options
) -> AdminApplication:
    """Returns the API of a balancer.

    Args:
        state: The balancer.
        options: Its name, deployment, teams and token.
    """

    async def on_failure(
        request: requests.Request, error: Exception
    ) -> responses.Response:
        fields = {"path": request.url.path, "error": type(error).__name__}
        options.log(events.LogEvent(events.EventId.ADMIN_FAILED, fields))
        text = f"{request.method} {request.url.path} failed"
        return messages.error_response(500, "internal", [text])

    handlers: dict[Any, Any] = {
        messages.Refused: _on_refused,
        exceptions.HTTPException: _on_http,
        Exception: on_failure,
    }
    inner = applications.Starlette(
        routes=_Api(state, options).routes(), exception_handlers=handlers
    )
    return AdminApplication(options, inner)
