"""The operators' configuration, in the form that balancers use."""

import attrs

Endpoint = tuple[int, int]


@attrs.define(frozen=True, repr=False)
class Share:
    """A service that gets a share of a route's new flows.

    Attributes:
        service: Name of the service.
        weight: Weight of the service, relative to the route's other shares.
    """

    service: str
    weight: int


@attrs.define(frozen=True, repr=False)
class Route:
    """Services that get the new flows to an address and port.

    Attributes:
        name: Name of the route.
        shares: The services; there is at least one.
        priority: Priority of its requests, 0 is the highest.
        objective_ms: Time in milliseconds within which requests should be
            answered, 0 if there is no objective.
        timeout_ms: Time in milliseconds after which answers are of no use, 0
            if there is no limit.
    """

    name: str
    shares: tuple[Share, ...]
    priority: int = 0
    objective_ms: int = 0
    timeout_ms: int = 0


@attrs.define(frozen=True, repr=False)
class Service:
    """Limits that the operators set for each target of a service.

    Attributes:
        name: Name of the service.
        max_flows: Flows that one target may have open.
        cold_per_second: Requests a second that a cold target can handle, 0 if
            there is no limit.
    """

    name: str
    max_flows: int
    cold_per_second: float


@attrs.define(frozen=True, repr=False)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Version set by the operators; it only grows.
        route_by_endpoint: Routes by address and port.
        service_by_name: Services.
        idle_timeout_s: Seconds after which an idle flow may be removed.
    """

    version: int
    route_by_endpoint: dict[Endpoint, Route]
    service_by_name: dict[str, Service]
    idle_timeout_s: float

    def route_has_service(self, endpoint: Endpoint, service: str) -> bool:
        """Returns whether the route of an endpoint may use a service."""
        route = self.route_by_endpoint.get(endpoint)
        return route is not None and any(
            share.service == service for share in route.shares
        )


def rank_services(route: Route, flow_hash: int) -> tuple[str, ...]:
    """Returns the services of a route in the order in which to try them.

    The first one is chosen by the hash, according to the weights. The others
    follow by weight, in case the first one has no available target. Services
    of weight 0 are left out.

    Args:
        route: The route.
        flow_hash: Hash of the flow, from 0 to 2**32 - 1.
    """
    shares = [share for share in route.shares if share.weight > 0]
    total = sum(share.weight for share in shares)
    if not total:
        return ()
    point = flow_hash % total
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
