"""What subcommands share: settings, access to the store, and output."""

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


class EarlyExit(Exception):
    """Ends a subcommand after its errors have been printed.

    Attributes:
        code: The exit status.
    """

    def __init__(self, code: ExitCode) -> None:
        super().__init__(code.name)
        self.code = code


@attrs.frozen
class Options:
    """Options that subcommands have in common.

    Attributes:
        settings: The operator's settings file.
        json: Whether to print JSON.
        operation_id: Id of the change; if empty, a new one is generated.
        timeout_seconds: Seconds until the change of a document is given up.
    """

    settings: str
    json: bool
    operation_id: str = ""
    timeout_seconds: float = 10.0


@attrs.frozen
class Session:
    """Context of one subcommand.

    Attributes:
        settings: The operator's settings.
        settings_file: The file with the settings.
        output: Prints the outcome.
        operation: Identity of the change, if the subcommand makes one.
        timeout_seconds: Seconds until the change of a document is given up.
    """

    settings: operator.Settings
    settings_file: pathlib.Path
    output: output.Output
    operation: operations.Operation
    timeout_seconds: float

    def early_exit(self, code: ExitCode, errors: Sequence[Any]) -> EarlyExit:
        """Prints errors and returns the exception to raise."""
        return EarlyExit(self.output.print_errors(code, errors))

    def signing_key(self) -> tuple[str, signing.SigningKey]:
        """Returns the name and the signing key of the operator's team.

        Raises:
            EarlyExit: The settings name no key, or the key cannot be read or
                is not the team's.
        """
        loaded = operator.load_signing_key(self.settings, self.settings_file)
        if isinstance(loaded, results.Failure):
            raise self.early_exit(ExitCode.USAGE, loaded.failure())
        return loaded.unwrap()

    def run(
        self,
        function: Callable[[operations.Context], Awaitable[ExitCode]],
        *,
        may_write: bool,
    ) -> ExitCode:
        """Runs a function with access to the store.

        Args:
            function: The function; its result is the exit status.
            may_write: Whether the function may write to the store. If it may,
                an interrupt is reported as a change that may have taken
                effect, because it may come between a write and the store's
                answer.
        """
        import trio

        from godwitturn.etcd import repository as repositories
        from godwitturn.etcd import store

        async def run_with_store() -> ExitCode:
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
            return trio.run(run_with_store)
        except* KeyboardInterrupt:
            pass
        return self._print_interrupted(may_write)

    def _print_interrupted(self, may_write: bool) -> ExitCode:
        if not may_write:
            return self.output.print_errors(ExitCode.REFUSED, ["interrupted"])
        operation_id = self.operation.operation_id
        error = (
            "interrupted; a change may have taken effect: repeat it with "
            f"--operation-id {operation_id} to find out"
        )
        return self.output.print_errors(
            ExitCode.MAY_HAVE, [error], operation_id=operation_id
        )

    async def configuration(
        self, context: operations.Context
    ) -> configurations.Configuration:
        """Returns the configuration that is in the store.

        Raises:
            EarlyExit: The configuration could not be read.
        """
        read_result = await operations.read_configuration(context)
        if isinstance(read_result, results.Failure):
            failure = read_result.failure()
            code = ExitCode.REFUSED
            if failure.unreachable:
                code = ExitCode.UNREACHABLE
            raise self.early_exit(code, [failure.detail])
        return read_result.unwrap()

    def read(
        self,
        function: Callable[
            [configurations.Configuration], tuple[dict[str, Any], str]
        ],
    ) -> ExitCode:
        """Prints a result that a function computes from the configuration.

        Args:
            function: Returns the values for JSON and the text for people.
        """

        async def read(context: operations.Context) -> ExitCode:
            configuration = await self.configuration(context)
            return self.output.print_success(*function(configuration))

        return self.run(read, may_write=False)

    def change(
        self,
        function: Callable[
            [operations.Context], Awaitable[Sequence[operations.ChangeResult]]
        ],
    ) -> ExitCode:
        """Makes changes and prints their outcomes."""

        async def change(context: operations.Context) -> ExitCode:
            outcomes = await function(context)
            return self.output.print_changes(outcomes, self.operation)

        return self.run(change, may_write=True)


def open_session(options: Options) -> Session:
    """Returns a session, after reading the operator's settings.

    Raises:
        EarlyExit: The settings or the options are invalid.
    """
    printer = output.Output(json=options.json)
    path = pathlib.Path(options.settings)
    loaded = operator.load(path)
    if isinstance(loaded, results.Failure):
        raise EarlyExit(printer.print_errors(ExitCode.USAGE, loaded.failure()))
    timeout = options.timeout_seconds
    if not 0.1 <= timeout <= 600:
        error = f"timeout: {timeout} is not allowed; allowed: 0.1 to 600"
        raise EarlyExit(printer.print_errors(ExitCode.USAGE, [error]))
    operation = operations.new_operation()
    if options.operation_id:
        given = operations.operation_from_id(options.operation_id)
        if isinstance(given, results.Failure):
            raise EarlyExit(
                printer.print_errors(ExitCode.USAGE, [given.failure()])
            )
        operation = given.unwrap()
    return Session(loaded.unwrap(), path, printer, operation, timeout)


def read_file(printer: output.Output, file: str) -> str:
    """Returns the text of a file.

    Raises:
        EarlyExit: The file cannot be read or is not UTF-8.
    """
    try:
        with pathlib.Path(file).open(encoding="utf-8", newline="") as stream:
            return stream.read()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{file}: {error}; allowed: a readable UTF-8 file"
        raise EarlyExit(
            printer.print_errors(ExitCode.USAGE, [message])
        ) from error


def value_or_exit(
    printer: output.Output, result: results.Result[Any, Any]
) -> Any:
    """Returns the value of a success.

    Raises:
        EarlyExit: It is a failure; its errors have been printed.
    """
    if isinstance(result, results.Failure):
        raise EarlyExit(printer.print_errors(ExitCode.USAGE, result.failure()))
    return result.unwrap()
