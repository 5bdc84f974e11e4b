"""Starts a program on the platform: `python -m godwitturn.platform ROLE`."""

import sys

from godwitturn.platform import settings

EXIT_FAULTY_SETTINGS = 2
ROLES = ("agent", "balancer")


def main(arguments: list[str]) -> int:
    """Runs the program of a role.

    Args:
        arguments: The role.

    Returns:
        Exit status.
    """
    if len(arguments) != 1 or arguments[0] not in ROLES:
        print(f"role is {arguments!r}; allowed: {ROLES}", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    try:
        loaded = settings.load()
        # Each role imports only its own program; this decides how soon a
        # restarted daemon forwards its first packet.
        if arguments[0] == "agent":
            from godwitturn.platform import agent

            agent.AgentProgram(loaded).run()
        else:
            from godwitturn.platform import balancer

            balancer.BalancerProgram(loaded).run()
    except settings.SettingsError as exc:
        print(f"settings: {exc}", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
