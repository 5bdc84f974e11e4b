"""Entry point of the command `godwitturn`."""

from collections.abc import Callable
from collections.abc import Sequence
import enum
import sys
from typing import Any

import defopt

from godwitturn.cli import configurations
from godwitturn.cli import deployment
from godwitturn.cli import inventories
from godwitturn.cli import keys
from godwitturn.cli import members
from godwitturn.cli import processes
from godwitturn.cli import rules
from godwitturn.cli import session as sessions

COMMANDS: dict[str, Callable[..., enum.IntEnum]] = {
    "run-balancer": processes.run_balancer,
    "run-agent": processes.run_agent,
    "check-settings": processes.check_settings,
    "keygen": keys.keygen,
    "import-inventory": inventories.import_inventory,
    "show": rules.show,
    "diff": rules.diff,
    "apply": rules.apply,
    "members": members.members,
    "approve": members.approve,
    "withdraw": members.withdraw,
    "drain": members.drain,
    "undrain": members.undrain,
    "data-centre-out": rules.data_centre_out,
    "data-centre-in": rules.data_centre_in,
    "status": processes.status,
    "check-deployment": deployment.check_deployment,
    "check-configuration": configurations.check_configuration,
    "beliefs": deployment.beliefs,
}


def run(arguments: Sequence[str] | None = None) -> int:
    """Runs one subcommand and returns its exit status."""
    options: dict[str, Any] = {"short": {}, "no_negated_flags": True}
    try:
        return int(
            defopt.run(
                COMMANDS,
                argv=None if arguments is None else list(arguments),
                argparse_kwargs={"prog": "godwitturn"},
                **options,
            )
        )
    except sessions.EarlyExit as early_exit:
        return int(early_exit.code)


def main() -> None:
    """Runs the command line and exits with the status of the subcommand."""
    sys.exit(run())


if __name__ == "__main__":
    main()
