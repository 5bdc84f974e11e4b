"""Intervals of control messages, which grow with the fleet, and of retries.

Each agent announces to each balancer, so the messages that a balancer receives
grow with the number of agents, and those that it sends with the numbers of
agents and balancers. Intervals grow as well, which limits the message rates of
each daemon. In return, changes take longer to be announced.
"""

# Largest number of announcements that one balancer receives in a second from
# up to 45 agents; with more, the maximum interval applies. Decoding an
# announcement takes 60 us, so this rate uses about a hundredth of a core.
ANNOUNCEMENTS_PER_SECOND = 150.0
# Largest number of regular hellos that one balancer sends in a second to up to
# 150 agents; with more, the maximum interval applies.
HELLOS_PER_SECOND = 100.0
# Balancers count an agent as lost after 1.2 s, the time of four announcements
# at this interval.
MAX_ANNOUNCEMENT_INTERVAL_S = 0.3
ANNOUNCEMENT_INTERVAL_S = 0.25
# Minimum time between announcements of changes. In a small fleet, changes are
# announced almost immediately.
MIN_ANNOUNCEMENT_GAP_S = 0.04
HELLO_INTERVAL_S = 0.5
# Copies of the operators' documents that all agents together fetch in a
# second. A large copy occupies the smallest links for half a second, and a
# balancer without the store needs only one agent that has a new copy.
DOCUMENTS_PER_SECOND = 1.0
# Agents remove a balancer after 5 s without messages.
MAX_HELLO_INTERVAL_S = 1.5


def retry_delay_s(
    failures: int, *, minimum_s: float, maximum_s: float, jitter: float
) -> float:
    """Returns the time before a retry, in seconds.

    It doubles with each failure. Jitter then shortens it by up to a half.

    Args:
        failures: Number of calls that failed in a row, at least 1.
        minimum_s: Time after the first failure without jitter.
        maximum_s: Longest time.
        jitter: A random number from 0 to 1, so that daemons that failed at the
            same time don't retry at the same time.
    """
    delay_s = min(maximum_s, minimum_s * 2 ** min(failures - 1, 8))
    return delay_s * (0.5 + 0.5 * jitter)


def announcement_gap_s(agents: int) -> float:
    """Returns the minimum time between announcements, in seconds.

    Args:
        agents: Number of agents that announce to the same balancers.
    """
    gap_s = agents / ANNOUNCEMENTS_PER_SECOND
    return min(MAX_ANNOUNCEMENT_INTERVAL_S, max(MIN_ANNOUNCEMENT_GAP_S, gap_s))


def announcement_interval_s(agents: int) -> float:
    """Returns the maximum time between announcements, in seconds."""
    return max(ANNOUNCEMENT_INTERVAL_S, announcement_gap_s(agents))


def hello_interval_s(agents: int) -> float:
    """Returns the time between hellos to one agent, in seconds."""
    interval_s = agents / HELLOS_PER_SECOND
    return min(MAX_HELLO_INTERVAL_S, max(HELLO_INTERVAL_S, interval_s))


def document_spread_s(agents: int) -> float:
    """Returns the time over which agents fetch the same documents, in s."""
    return agents / DOCUMENTS_PER_SECOND
