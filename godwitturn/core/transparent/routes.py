"""The operators' configuration, as balancers use it."""

import attrs

Endpoint = tuple[int, int]


@attrs.define(frozen=True, repr=False)
class Share:
    """A service that takes a part of a route's new flows.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the other shares of the route.
    """

    service: str
    weight: int


@attrs.define(frozen=True, repr=False)
class Route:
    """Where new flows to an address and port go.

    Attributes:
        name: Name of the route.
        shares: The services; there is at least one.
    """

    name: str
    shares: tuple[Share, ...]


@attrs.define(frozen=True, repr=False)
class Service:
    """What the operators say of a service's targets.

    Attributes:
        name: Name of the service.
        max_flows: Flows that one target holds.
        cold_per_second: Requests a second that a cold target bears.
    """

    name: str
    max_flows: int
    cold_per_second: float


@attrs.define(frozen=True, repr=False)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: The operators' version; it only grows.
        route_by_endpoint: Routes by address and port.
        service_by_name: Services.
        idle_timeout_s: Seconds after which an idle flow may be forgotten.
    """

    version: int
    route_by_endpoint: dict[Endpoint, Route]
    service_by_name: dict[str, Service]
    idle_timeout_s: float


def pick_service(route: Route, draw: int) -> tuple[str, ...]:
    """Returns the services of a route, the one to try first in front.

    Services without weight are left out. The others follow the first by
    weight, for the case that it has no target to give.

    Args:
        route: The route.
        draw: A number drawn evenly from 0 to 2**32 - 1.
    """
    shares = [share for share in route.shares if share.weight > 0]
    total = sum(share.weight for share in shares)
    if not total:
        return ()
    point = draw % total
    for share in shares:
        if point < share.weight:
            first = share
            break
        point -= share.weight
    rest = sorted(
        (share for share in shares if share is not first),
        key=lambda share: -share.weight,
    )
    return (first.service, *(share.service for share in rest))
