"""Files with keys or tokens, to which only their owner may have access."""

import os
import pathlib
import stat

import attrs
from returns import result as results

from godwitturn.settings import specs

FILE_MODE = 0o600
OTHERS_MODE_MASK = 0o077
MODE_ALLOWED = "0600 or 0400, without access for group and others"


@attrs.frozen
class SecretText:
    """Contents of a file at the time it was read.

    Attributes:
        text: Its text.
        mode: Its permission bits.
    """

    text: str = attrs.field(repr=False)
    mode: int


Errors = tuple[specs.ValidationError, ...]


def read(path: pathlib.Path) -> results.Result[SecretText, Errors]:
    """Returns the text and mode of a file, or an error if it is unreadable."""
    try:
        with path.open(encoding="utf-8") as stream:
            # fstat gives the mode of the file read, even if the path is
            # replaced meanwhile.
            mode = stat.S_IMODE(os.fstat(stream.fileno()).st_mode)
            return results.Success(SecretText(stream.read(), mode))
    except (OSError, UnicodeDecodeError) as exc:
        error = specs.ValidationError(
            str(path), "(file)", str(exc), "a readable file"
        )
        return results.Failure((error,))


def validate_mode(path: pathlib.Path, mode: int) -> Errors:
    """Returns an error if group or others have access to a file."""
    if not mode & OTHERS_MODE_MASK:
        return ()
    return (
        specs.ValidationError(
            str(path), "(mode)", f"{mode:04o}", MODE_ALLOWED
        ),
    )


def _write(path: pathlib.Path, text: str, flags: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | flags, FILE_MODE)
    with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
        # Overrides the umask and the mode of an existing file.
        os.fchmod(descriptor, FILE_MODE)
        stream.write(text)


def write_new(path: pathlib.Path, text: str) -> None:
    """Writes a new file with mode 0600.

    Raises:
        OSError: The file exists, or cannot be written.
    """
    _write(path, text, os.O_EXCL)


def write(path: pathlib.Path, text: str) -> None:
    """Writes a file with mode 0600, replacing the contents of an existing one.

    Raises:
        OSError: The file cannot be written.
    """
    _write(path, text, os.O_TRUNC)
