"""Subcommand that checks a configuration of the users' platform."""

import pathlib
import sys

import attrs

from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.platform import configuration_check
from godwitturn.protocol import json_values

CheckCode = exit_codes.CheckCode
Severity = configuration_check.Severity


def check_configuration(
    file: str, *, in_force: str | None = None, json: bool = False
) -> CheckCode:
    """Checks a configuration and reports all errors and warnings.

    The exit status is 0 without findings, 1 with warnings only, 2 with errors
    and 3 if a file cannot be read.

    Example::

        godwitturn check-configuration new.json
        godwitturn check-configuration new.json --in-force current.json

    Args:
        file: The configuration as one JSON document.
        in_force: The configuration in force; what differs from it is listed.
        json: Print JSON.
    """
    printer = output.Output(json=json)
    try:
        data = pathlib.Path(file).read_bytes()
        data_in_force = None
        if in_force is not None:
            data_in_force = pathlib.Path(in_force).read_bytes()
    except OSError as exc:
        return printer.print_errors(
            CheckCode.UNREADABLE, [f"{exc}; allowed: a readable file"]
        )
    try:
        report = configuration_check.check(data, in_force=data_in_force)
    except json_values.MalformedError as exc:
        message = (
            f"{in_force}: {str(exc)!a}; allowed: a configuration that "
            "balancers accept"
        )
        return printer.print_errors(CheckCode.UNREADABLE, [message])
    return _print_report(printer, report)


def _print_report(
    printer: output.Output, report: configuration_check.Report
) -> CheckCode:
    severities = {finding.severity for finding in report.findings}
    code = CheckCode.WARNINGS if severities else CheckCode.CLEAN
    if Severity.ERROR in severities:
        code = CheckCode.ERRORS
    lines: list[object] = []
    for finding in report.findings:
        if finding.severity is Severity.WARNING:
            lines.append(finding)
        elif not printer.json:
            print(finding, file=sys.stderr)
    if not report.findings:
        lines.append("no findings")
    lines += report.differences
    return printer.print_result(
        code, attrs.asdict(report), "\n".join(map(str, lines))
    )
