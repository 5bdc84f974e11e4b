"""Settings, store and operation of one subcommand."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import pathlib
from typing import Any

import attrs
from nacl import signing
from returns import result as results

from godwitturn.admin import operations
from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.core import configuration as configurations
from godwitturn.settings import operator

ExitCode = exit_codes.ExitCode


class Ended(Exception):
    """A subcommand ends early; its errors have been printed.

    Attributes:
        code: The exit status.
    """

    def __init__(self, code: ExitCode) -> None:
        super().__init__(code.name)
        self.code = code


@attrs.frozen
class Options:
    """The options that subcommands share.

    Attributes:
        settings: The operator's settings file.
        json: Whether to print JSON.
        operation_id: Name of the change; if empty, it gets a new one.
        timeout_seconds: Seconds until a write is given up.
    """

    settings: str
    json: bool
    operation_id: str = ""
    timeout_seconds: float = 10.0


@attrs.frozen
class Session:
    """What a subcommand works with.

    Attributes:
        settings: The operator's settings.
        settings_file: Their file.
        output: Where the outcome goes.
        operation: Name of the change, if it makes one.
        timeout_seconds: Seconds until a write is given up.
    """

    settings: operator.Settings
    settings_file: pathlib.Path
    output: output.Output
    operation: operations.Operation
    timeout_seconds: float

    def ended(self, code: ExitCode, errors: Sequence[Any]) -> Ended:
        """Prints errors and returns what to raise."""
        return Ended(self.output.failed(code, errors))

    def signing_key(self) -> tuple[str, signing.SigningKey]:
        """Returns the team's name and key.

        Raises:
            Ended: There is none, or it is not the team's.
        """
        found = operator.load_signing_key(self.settings, self.settings_file)
        if isinstance(found, results.Failure):
            raise self.ended(ExitCode.USAGE, found.failure())
        return found.unwrap()

    def run(
        self,
        function: Callable[[operations.Context], Awaitable[ExitCode]],
        *,
        changing: bool,
    ) -> ExitCode:
        """Runs a function with the store.

        Args:
            function: What to run.
            changing: Whether it may write. An interrupt may then come between
                a write and its answer, so it counts as a change that may have
                taken effect.
        """
        import trio

        from godwitturn.etcd import repository as repositories
        from godwitturn.etcd import store

        async def with_store() -> ExitCode:
            async with store.StoreClient(
                self.settings.store.endpoints,
                timeout_seconds=self.settings.store.timeout_seconds,
            ) as client:
                repository = repositories.Repository(
                    client, self.settings.deployment, trio.current_time
                )
                context = operations.Context(
                    repository,
                    self.settings.deployment,
                    self.settings.teams,
                    trio.current_time,
                    self.timeout_seconds,
                )
                return await function(context)

        try:
            return trio.run(with_store)
        except* KeyboardInterrupt:
            pass
        return self._interrupted(changing)

    def _interrupted(self, changing: bool) -> ExitCode:
        if not changing:
            return self.output.failed(ExitCode.REFUSED, ["interrupted"])
        operation_id = self.operation.operation_id
        error = (
            "interrupted; a change may have taken effect: repeat it with "
            f"--operation-id {operation_id} to find out"
        )
        return self.output.failed(
            ExitCode.MAY_HAVE, [error], operation_id=operation_id
        )

    async def configuration(
        self, context: operations.Context
    ) -> configurations.Configuration:
        """Returns the configuration on the store.

        Raises:
            Ended: It could not be read.
        """
        found = await operations.read(context)
        if isinstance(found, results.Failure):
            failure = found.failure()
            code = ExitCode.REFUSED
            if failure.unreachable:
                code = ExitCode.UNREACHABLE
            raise self.ended(code, [failure.detail])
        return found.unwrap()

    def read(
        self,
        function: Callable[
            [configurations.Configuration], tuple[dict[str, Any], str]
        ],
    ) -> ExitCode:
        """Prints what a function makes of the configuration on the store.

        Args:
            function: Returns the values for JSON and the text for people.
        """

        async def read(context: operations.Context) -> ExitCode:
            configuration = await self.configuration(context)
            return self.output.done(*function(configuration))

        return self.run(read, changing=False)

    def change(
        self,
        function: Callable[
            [operations.Context], Awaitable[Sequence[operations.ChangeResult]]
        ],
    ) -> ExitCode:
        """Makes changes and prints how they ended."""

        async def change(context: operations.Context) -> ExitCode:
            outcomes = await function(context)
            return self.output.changed(outcomes, self.operation)

        return self.run(change, changing=True)


def open_session(options: Options) -> Session:
    """Returns a session, after reading the operator's settings.

    Raises:
        Ended: The settings or the arguments have faults.
    """
    printer = output.Output(json=options.json)
    path = pathlib.Path(options.settings)
    loaded = operator.load(path)
    if isinstance(loaded, results.Failure):
        raise Ended(printer.failed(ExitCode.USAGE, loaded.failure()))
    timeout = options.timeout_seconds
    if not 0.1 <= timeout <= 600:
        error = f"timeout: {timeout} is not allowed; allowed: 0.1 to 600"
        raise Ended(printer.failed(ExitCode.USAGE, [error]))
    operation = operations.new_operation()
    if options.operation_id:
        named = operations.operation_of(options.operation_id)
        if isinstance(named, results.Failure):
            raise Ended(printer.failed(ExitCode.USAGE, [named.failure()]))
        operation = named.unwrap()
    return Session(loaded.unwrap(), path, printer, operation, timeout)


def read_file(printer: output.Output, file: str) -> str:
    """Returns the text of a file.

    Raises:
        Ended: It cannot be read.
    """
    try:
        with pathlib.Path(file).open(encoding="utf-8", newline="") as stream:
            return stream.read()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{file}: {error}; allowed: a readable UTF-8 file"
        raise Ended(printer.failed(ExitCode.USAGE, [message])) from error


def unwrapped(printer: output.Output, found: results.Result[Any, Any]) -> Any:
    """Returns the value of a success.

    Raises:
        Ended: It is a failure, a sequence of faults.
    """
    if isinstance(found, results.Failure):
        raise Ended(printer.failed(ExitCode.USAGE, found.failure()))
    return found.unwrap()
