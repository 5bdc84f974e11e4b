"""Request bodies and query parameters of the administration API."""

import attrs
from starlette import requests

from godwitturn.admin import messages
from godwitturn.core import changes
from godwitturn.settings import specs

SIGNATURE_BYTES = 64
# Limit of members in one request. The balancer handles no packets while it
# verifies their signatures, which takes 0.04 ms each.
MAX_MEMBERS = 100
# Limit of the sequence of an approval or withdrawal. Documents could hold
# larger numbers, but no team withdraws an approval so often.
MAX_SEQUENCE = 2**32 - 1


@attrs.frozen
class Signature:
    """Signature under the approval or withdrawal of one member.

    Attributes:
        member: Name or id of the member.
        signature: Ed25519 signature by the team.
        sequence: Sequence of the approval or withdrawal.
    """

    member: str = specs.setting(specs.Text())
    signature: bytes = specs.setting(specs.Hex(SIGNATURE_BYTES))
    sequence: int = specs.setting(specs.Integer(0, MAX_SEQUENCE), 0)


@attrs.frozen
class Approvals:
    """Approvals of members, signed by one team."""

    team: str = specs.setting(specs.Text())
    approvals: tuple[Signature, ...] = specs.setting(
        specs.ListOf(specs.TableOf(Signature))
    )


@attrs.frozen
class Withdrawals:
    """Withdrawals of approvals, signed by one team."""

    team: str = specs.setting(specs.Text())
    withdrawals: tuple[Signature, ...] = specs.setting(
        specs.ListOf(specs.TableOf(Signature))
    )


@attrs.frozen
class Draining:
    """Targets to mark as draining or not draining."""

    members: tuple[str, ...] = specs.setting(specs.ListOf(specs.Text()))
    draining: bool = specs.setting(specs.Boolean())


@attrs.frozen
class DataCentre:
    """Whether a data centre is to be out of service.

    Attributes:
        out: True to take it out of service, False to put it back.
        allow_none_left: Whether the last data centre in service may be taken
            out.
    """

    out: bool = specs.setting(specs.Boolean())
    allow_none_left: bool = specs.setting(specs.Boolean(), False)


def boolean_parameter(request: requests.Request, name: str) -> bool:
    """Returns a boolean query parameter, False if it is not given.

    Raises:
        RequestError: The value is neither true nor false.
    """
    value = request.query_params.get(name, "false")
    if value not in ("true", "false"):
        refusal = changes.Refusal(name, value, "true or false")
        raise messages.RequestError(400, "bad_request", [refusal])
    return value == "true"
