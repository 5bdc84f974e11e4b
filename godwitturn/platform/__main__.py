"""Runs a daemon on the platform: `python -m godwitturn.platform ROLE`."""

import signal
import sys

from godwitturn.platform import settings

EXIT_INVALID_SETTINGS = 2
ROLES = ("agent", "balancer")


def main(arguments: list[str]) -> int:
    """Runs the program of a role.

    Args:
        arguments: Command-line arguments, which must be one role.

    Returns:
        Exit status.
    """
    if len(arguments) != 1 or arguments[0] not in ROLES:
        print(
            f"arguments are {arguments!r}; allowed: one of {ROLES}",
            file=sys.stderr,
        )
        return EXIT_INVALID_SETTINGS
    # Until the program handles SIGHUP, the signal would end the process. It
    # stays pending, so that settings that change meanwhile are read again.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        loaded = settings.load()
        # Import only the program of this role: imports determine how soon a
        # restarted daemon forwards its first packet.
        if arguments[0] == "agent":
            from godwitturn.platform import agent

            agent.AgentProgram(loaded).run()
        else:
            from godwitturn.platform import balancer

            balancer.BalancerProgram(loaded).run()
    except settings.SettingsError as exc:
        print(f"settings: {exc}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
