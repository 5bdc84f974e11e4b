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
    """Request handlers of the API."""

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
        read_result = await operations.read_configuration(self._context())
        if isinstance(read_result, results.Failure):
            failure = read_result.failure()
            raise messages.RequestError(
                503, "store_unreachable", [failure.detail]
            )
        return read_result.unwrap()

    def _changes_response(
        self,
        outcomes: Sequence[operations.ChangeResult],
        operation: operations.Operation,
        **values: Any,
    ) -> responses.Response:
        for change in outcomes:
            fields = {
                "operation": change.operation_id,
                "document": change.key or "-",
                "verdict": change.verdict.name.lower(),
                "written": change.written,
            }
            event_id = events.EventId.ADMIN_CHANGE
            self.options.log(events.LogEvent(event_id, fields))
        return messages.changes_response(outcomes, operation, **values)

    async def status(self, _: requests.Request) -> responses.Response:
        """Returns the balancer's version, members and counters."""
        members = sorted(self.state.members.items())
        return responses.JSONResponse(
            {
                "name": self.options.name,
                "data_centre": self.options.data_centre,
                "deployment": self.options.deployment,
                "version": self.state.position.revision,
                "era": self.state.position.era,
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
        """Returns all metrics in the Prometheus text format."""
        text = exposition.format_metrics(self.state.registry)
        headers = {"content-type": exposition.CONTENT_TYPE}
        return responses.Response(text, headers=headers)

    async def configuration(self, _: requests.Request) -> responses.Response:
        """Returns the rules, services and revisions of documents."""
        configuration = await self._configuration()
        return responses.JSONResponse(
            views.configuration_values(configuration)
        )

    async def members(self, _: requests.Request) -> responses.Response:
        """Returns all members and their approval state."""
        configuration = await self._configuration()
        # Runs in a thread, because it would block the event loop: verifying
        # the signatures of 4,130 members takes 0.4 s.
        rows = await trio.to_thread.run_sync(
            views.member_rows,
            configuration,
            self.options.deployment,
            self.options.team_keys,
        )
        values = [views.member_values(row) for row in rows]
        return responses.JSONResponse({"members": values})

    async def approve(self, request: requests.Request) -> responses.Response:
        """Records approvals that a team has signed."""
        operation = messages.operation_of(request)
        body: api_types.Approvals = await messages.read_json(
            request, api_types.Approvals
        )
        make_statement = functools.partial(documents.Approval, body.team)
        return await self._record_signatures(
            body.approvals, make_statement, operation
        )

    async def withdraw(self, request: requests.Request) -> responses.Response:
        """Records withdrawals that a team has signed."""
        operation = messages.operation_of(request)
        body: api_types.Withdrawals = await messages.read_json(
            request, api_types.Withdrawals
        )
        make_statement = functools.partial(documents.Withdrawal, body.team)
        return await self._record_signatures(
            body.withdrawals, make_statement, operation
        )

    async def _record_signatures(
        self,
        signatures: Sequence[api_types.Signature],
        make_statement: Callable[
            [bytes, int], documents.Approval | documents.Withdrawal
        ],
        operation: operations.Operation,
    ) -> responses.Response:
        """Records signatures of one team.

        Args:
            signatures: The signatures, as received.
            make_statement: Returns the approval or withdrawal that has the
                given signature and sequence.
            operation: Identity of the change.
        """
        _check_member_count(len(signatures))
        signature_by_name = {
            signature.member: signature for signature in signatures
        }

        def statement_of(
            member: documents.Member,
        ) -> documents.Approval | documents.Withdrawal:
            signature = _signature_of(signature_by_name, member)
            return make_statement(signature.signature, signature.sequence)

        outcomes = await operations.record_signatures(
            self._context(), signature_by_name, statement_of, operation
        )
        return self._changes_response(outcomes, operation)

    async def draining(self, request: requests.Request) -> responses.Response:
        """Marks targets as draining, or ends their draining."""
        operation = messages.operation_of(request)
        body: api_types.Draining = await messages.read_json(
            request, api_types.Draining
        )
        _check_member_count(len(body.members))
        outcomes = await operations.set_draining(
            self._context(), body.members, body.draining, operation
        )
        return self._changes_response(outcomes, operation)

    async def data_centre(
        self, request: requests.Request
    ) -> responses.Response:
        """Takes a data centre out of service or puts it back."""
        operation = messages.operation_of(request)
        body: api_types.DataCentre = await messages.read_json(
            request, api_types.DataCentre
        )
        name = request.path_params["name"]
        if body.out:
            outcome = await operations.set_data_centre_out(
                self._context(),
                name,
                operation,
                allow_none_left=body.allow_none_left,
            )
        else:
            outcome = await operations.set_data_centre_in(
                self._context(), name, operation
            )
        return self._changes_response([outcome], operation)

    async def rules(self, request: requests.Request) -> responses.Response:
        """Compares new rules and services with the stored ones.

        Applies them too if the query parameter `apply` is true.
        """
        operation = messages.operation_of(request)
        apply = api_types.boolean_parameter(request, "apply")
        body: operator.RulesFile = await messages.read_json(
            request, operator.RulesFile
        )
        errors = operator.validate_rules(body, "body")
        if errors:
            raise messages.RequestError(400, "bad_request", errors)
        plan = rules_plans.plan_rules(
            await self._configuration(),
            body.rules_document(),
            body.service_documents(),
        )
        values = {"differences": views.rules_plan_values(plan)}
        if plan.refusals:
            return messages.error_response(
                422, "refused", plan.refusals, **values
            )
        if not apply:
            return responses.JSONResponse(values)
        outcomes = await rules_plans.apply_rules(
            self._context(), plan, operation
        )
        return self._changes_response(outcomes, operation, **values)

    async def inventory(self, request: requests.Request) -> responses.Response:
        """Compares an inventory with the stored members.

        Imports it too if the query parameter `apply` is true.
        """
        operation = messages.operation_of(request)
        apply = api_types.boolean_parameter(request, "apply")
        allow_mass_departure = api_types.boolean_parameter(
            request, "allow_mass_departure"
        )
        text = await messages.read_text(request, messages.CSV_TYPE)
        plan_import = functools.partial(
            imports.plan_import,
            await self._configuration(),
            text,
            allowed_share=1.0
            if allow_mass_departure
            else inventory.MAX_DEPARTING_SHARE,
        )
        # Runs in a thread, because it would block the event loop: parsing
        # 4,130 rows takes 0.16 s.
        plan = await trio.to_thread.run_sync(plan_import)
        values = {"plan": views.import_plan_values(plan)}
        if not plan.applicable:
            errors = [*plan.bad_rows, *plan.mass_departures]
            return messages.error_response(422, "refused", errors, **values)
        if not apply:
            return responses.JSONResponse(values)
        outcomes = await imports.apply_import(self._context(), plan, operation)
        return self._changes_response(outcomes, operation, **values)

    def routes(self) -> list[routing.Route]:
        """Returns the route of each handler, for a Starlette application."""
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
    signature_by_name: Mapping[str, api_types.Signature],
    member: documents.Member,
) -> api_types.Signature:
    member_id = changes.format_member_id(member.member_id)
    # A request may name a member by its name or by its id.
    return signature_by_name.get(member.name) or signature_by_name[member_id]


def _check_member_count(count: int) -> None:
    limit = api_types.MAX_MEMBERS
    if not 1 <= count <= limit:
        refusal = changes.Refusal("members", str(count), f"1 to {limit} items")
        raise messages.RequestError(400, "bad_request", [refusal])


async def _handle_request_error(
    _: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, messages.RequestError)
    return messages.error_response(
        error.status, error.error_type, error.errors
    )


async def _handle_http_exception(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, exceptions.HTTPException)
    text = f"{request.method} {request.url.path}: {error.detail}"
    error_type = "no_such_path" if error.status_code == 404 else "bad_method"
    return messages.error_response(error.status_code, error_type, [text])


async def _handle_lifespan(receive: Any, send: Any) -> None:
    # The API has nothing to do at the start and shutdown of the server.
    # Starlette's own handler would report a cancellation as a failure, which
    # hypercorn turns into an exception.
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _with_deadline(receive: _Receive, seconds: float) -> _Receive:
    """Returns an ASGI receive function with a deadline for the whole body."""
    deadline = trio.current_time() + seconds

    async def receive_until_deadline() -> Any:
        with trio.move_on_at(deadline):
            return await receive()
        allowed = f"a whole request within {seconds} s"
        refusal = changes.Refusal("body", "(incomplete)", allowed)
        raise messages.RequestError(408, "request_timeout", [refusal])

    return receive_until_deadline


@attrs.frozen
class AdminApplication:
    """ASGI application that checks the bearer token of each request.

    Attributes:
        options: Options with the token; if the token is empty, requests need
            none.
        inner: Application that handles the authorised requests.
    """

    options: states.Options
    inner: Callable[..., Awaitable[None]]

    @property
    def has_token(self) -> bool:
        """Whether requests need a token."""
        return bool(self.options.token)

    def _is_authorised(self, scope: Any) -> bool:
        if not self.has_token:
            return True
        header = dict(scope["headers"]).get(b"authorization", b"")
        scheme, _, token = header.partition(b" ")
        expected = self.options.token.hex().encode()
        equal = hmac.compare_digest(token.strip().lower(), expected)
        return equal and scheme.lower() == b"bearer"

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request, or the start and shutdown of the server."""
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            await send({"type": "websocket.close"})
            return
        if self._is_authorised(scope):
            body_timeout = self.options.body_timeout_seconds
            receive_body = _with_deadline(receive, body_timeout)
            await self.inner(scope, receive_body, send)
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
        state: Current state of the balancer.
        options: Options of the API, which include the token.
    """

    async def handle_failure(
        request: requests.Request, error: Exception
    ) -> responses.Response:
        fields = {"path": request.url.path, "error": type(error).__name__}
        options.log(events.LogEvent(events.EventId.ADMIN_FAILED, fields))
        text = f"{request.method} {request.url.path} failed"
        return messages.error_response(500, "internal", [text])

    handlers: dict[Any, Any] = {
        messages.RequestError: _handle_request_error,
        exceptions.HTTPException: _handle_http_exception,
        Exception: handle_failure,
    }
    inner = applications.Starlette(
        routes=_Api(state, options).routes(), exception_handlers=handlers
    )
    return AdminApplication(options, inner)
