"""The subcommand that generates keys."""

import pathlib
import secrets
from typing import Literal

from nacl import public
from nacl import signing

from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.core import changes
from godwitturn.core import identity
from godwitturn.settings import secret_files

ExitCode = exit_codes.ExitCode

KEY_BYTES = 32


def keygen(
    kind: Literal["member", "team"], file: str, *, json: bool = False
) -> ExitCode:
    """Generates a key; writes its secret part to a new file of mode 0600.

    A member key (X25519) goes into a daemon's settings, its public part into
    the inventory. A team key (Ed25519) signs approvals; its public part goes
    into all settings.

    Example::

        godwitturn keygen member balancer-1.key
        godwitturn keygen team licensing.key

    Args:
        kind: Whether the key is for a member or a team.
        file: The file to write; it must not exist yet.
        json: Print JSON.
    """
    printer = output.Output(json=json)
    secret = secrets.token_bytes(KEY_BYTES)
    try:
        secret_files.write_new(pathlib.Path(file), secret.hex() + "\n")
    except OSError as error:
        message = f"{file}: {error.strerror}; allowed: a new file"
        return printer.print_errors(ExitCode.USAGE, [message])
    values = {"kind": kind, "file": file}
    if kind == "member":
        key = bytes(public.PrivateKey(secret).public_key)
        values["member_id"] = changes.format_member_id(
            identity.member_id_of(key)
        )
    else:
        key = bytes(signing.SigningKey(secret).verify_key)
    values["public_key"] = key.hex()
    text = "\n".join(f"{name}: {value}" for name, value in values.items())
    return printer.print_success(values, text)
