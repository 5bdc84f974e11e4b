"""Bodies and query values of the administration API."""

import attrs
from starlette import requests

from godwitturn.admin import messages
from godwitturn.core import changes
from godwitturn.settings import specs

SIGNATURE_BYTES = 64
# Packets wait while signatures are verified, 0.04 ms each.
MAX_MEMBERS = 100
# The store's msgpack holds larger ones, but no team withdraws so often.
MAX_SEQUENCE = 2**32 - 1


@attrs.frozen
class Signature:
    """A signature over one member's statement."""

    member: str = specs.setting(specs.Text())
    signature: bytes = specs.setting(specs.Hex(SIGNATURE_BYTES))
    sequence: int = specs.setting(specs.Integer(0, MAX_SEQUENCE), 0)


@attrs.frozen
class Approvals:
    """Signatures of one team."""

    team: str = specs.setting(specs.Text())
    approvals: tuple[Signature, ...] = specs.setting(
        specs.ListOf(specs.TableOf(Signature))
    )


@attrs.frozen
class Withdrawals:
    """Signatures by which one team withdraws its approvals."""

    team: str = specs.setting(specs.Text())
    withdrawals: tuple[Signature, ...] = specs.setting(
        specs.ListOf(specs.TableOf(Signature))
    )


@attrs.frozen
class Draining:
    """Targets to mark."""

    members: tuple[str, ...] = specs.setting(specs.ListOf(specs.Text()))
    draining: bool = specs.setting(specs.Boolean())


@attrs.frozen
class DataCentre:
    """Whether a data centre is out."""

    out: bool = specs.setting(specs.Boolean())
    allow_none_left: bool = specs.setting(specs.Boolean(), False)


def switch_of(request: requests.Request, name: str) -> bool:
    """Returns a query value, False if it is not given.

    Raises:
        Refused: It is neither true nor false.
    """
    value = request.query_params.get(name, "false")
    if value not in ("true", "false"):
        refusal = changes.Refusal(name, value, "true or false")
        raise messages.Refused(400, "bad_request", [refusal])
    return value == "true"
