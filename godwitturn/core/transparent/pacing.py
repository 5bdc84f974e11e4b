"""Intervals of control messages, stretched as the fleet grows.

Pattern: each agent tells each balancer, so what a balancer receives grows with
the agents and what it sends with the agents and balancers. Rates for each
daemon are bounded instead; what follows from a change is then known later.
"""

# Announcements that one balancer takes in a second. Decoding one takes 60 us,
# so this is about a hundredth of a core.
ANNOUNCEMENTS_PER_SECOND = 150.0
# Greetings that one balancer sends in a second.
HELLOS_PER_SECOND = 100.0
# Four announcements in a row may be missed before an agent counts as lost.
MAX_ANNOUNCEMENT_INTERVAL_S = 0.3
ANNOUNCEMENT_INTERVAL_S = 0.25
# Changes of a small fleet are told nearly at once.
MIN_ANNOUNCEMENT_GAP_S = 0.04
HELLO_INTERVAL_S = 0.5
# Agents forget a balancer after 5 s.
MAX_HELLO_INTERVAL_S = 1.5


def announcement_gap_s(agents: int) -> float:
    """Returns the shortest time between announcements, in seconds.

    Args:
        agents: Agents that announce to the same balancers.
    """
    gap_s = agents / ANNOUNCEMENTS_PER_SECOND
    return min(MAX_ANNOUNCEMENT_INTERVAL_S, max(MIN_ANNOUNCEMENT_GAP_S, gap_s))


def announcement_interval_s(agents: int) -> float:
    """Returns the longest time between announcements, in seconds."""
    return max(ANNOUNCEMENT_INTERVAL_S, announcement_gap_s(agents))


def hello_interval_s(agents: int) -> float:
    """Returns the time between greetings of one agent, in seconds."""
    interval_s = agents / HELLOS_PER_SECOND
    return min(MAX_HELLO_INTERVAL_S, max(HELLO_INTERVAL_S, interval_s))
