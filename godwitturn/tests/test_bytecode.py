"""Tests of the compiler of deployed programs."""

import ast
import pathlib
import subprocess
import sys
import tempfile
import textwrap
from typing import Any
import unittest

import attrs

from godwitturn import bytecode
from godwitturn.platform import __main__ as starter

PACKAGE = pathlib.Path(bytecode.__file__).parent
# Modules that are slow to import, or made at run time by attrs.
SLOW_MODULES = {"attr", "attrs", "dataclasses", "hdrh", "inspect"}
CLASSES = '''
import collections
from typing import Any

import attrs


@attrs.define(frozen=True, repr=False)
class Point:
    """Two numbers."""

    x: int
    y: int = 2


@attrs.define(eq=False, repr=False)
class Table:
    name: str
    row_by_key: dict[str, Any] = attrs.field(factory=dict)
    _recent: collections.deque[int] = attrs.field(
        factory=lambda: collections.deque(maxlen=3)
    )

    @property
    def size(self) -> int:
        """Returns how many rows there are."""
        count: int = len(self.row_by_key)
        return count


@attrs.define(repr=False)
class Mutable:
    value: float = 0.5
'''


def _both() -> tuple[dict[str, Any], dict[str, Any]]:
    """Returns the classes as attrs and as the compiler make them."""
    made_by_attrs: dict[str, Any] = {"__name__": "made_by_attrs"}
    exec(compile(CLASSES, "classes", "exec"), made_by_attrs)
    expanded: dict[str, Any] = {"__name__": "expanded"}
    exec(compile(bytecode.expand(CLASSES), "classes", "exec"), expanded)
    return made_by_attrs, expanded


class TestExpandedClasses(unittest.TestCase):
    """Expanded classes behave like those that attrs makes."""

    def setUp(self) -> None:
        self.both = _both()

    def test_attrs_is_not_needed(self) -> None:
        _, expanded = self.both
        self.assertNotIn("attrs", expanded)
        self.assertNotIn("Any", expanded)

    def test_values_and_defaults(self) -> None:
        for names in self.both:
            point = names["Point"](1)
            self.assertEqual((1, 2), (point.x, point.y))
            table = names["Table"]("t", recent=[7])
            self.assertEqual(([7], {}), (table._recent, table.row_by_key))
            table.row_by_key["a"] = 1
            self.assertEqual(1, table.size)
            other = names["Table"]("t")
            self.assertEqual(0, other.size)
            self.assertEqual(3, other._recent.maxlen)
            self.assertIsNot(other._recent, names["Table"]("t")._recent)

    def test_missing_and_unknown_arguments(self) -> None:
        for names in self.both:
            for arguments in ({}, {"x": 1, "z": 2}):
                with self.assertRaises(TypeError):
                    names["Point"](**arguments)

    def test_equality_and_hash(self) -> None:
        for names in self.both:
            point, mutable = names["Point"], names["Mutable"]
            self.assertEqual(point(1, 2), point(1))
            self.assertNotEqual(point(1, 2), point(2, 1))
            self.assertNotEqual(point(1, 2), (1, 2))
            self.assertEqual(1, len({point(1, 2), point(1)}))
            self.assertEqual(mutable(), mutable(0.5))
            with self.assertRaises(TypeError):
                hash(mutable())
            table = names["Table"]
            self.assertNotEqual(table("t"), table("t"))
            self.assertEqual(1, len({table("t")}))

    def test_match_and_slots(self) -> None:
        for names in self.both:
            point = names["Point"]
            match point(3, 4):
                case point(x, y):
                    self.assertEqual((3, 4), (x, y))
                case _:
                    self.fail("positional pattern doesn't match")
            with self.assertRaises(AttributeError):
                names["Table"]("t").other = 1

    def test_class_with_other_options_keeps_its_decorator(self) -> None:
        source = textwrap.dedent(
            """
            import attrs

            @attrs.define(kw_only=True, repr=False)
            class Settings:
                port: int = 1
            """
        )
        names: dict[str, Any] = {"__name__": "settings"}
        exec(compile(bytecode.expand(source), "s", "exec"), names)
        self.assertTrue(attrs.has(names["Settings"]))
        self.assertEqual(1, names["Settings"]().port)


class TestTracebacks(unittest.TestCase):
    """Compiled code names lines of the source."""

    def test_line_numbers(self) -> None:
        source = (PACKAGE / "core/transparent/balancer.py").read_text()
        lines = {
            node.name: node.lineno
            for node in ast.walk(ast.parse(source))
            if isinstance(node, ast.FunctionDef)
        }
        for node in ast.walk(bytecode.expand(source)):
            if isinstance(node, ast.FunctionDef) and node.name in lines:
                self.assertEqual(lines[node.name], node.lineno, node.name)


class TestBuild(unittest.TestCase):
    """The compiled package."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        bytecode.build(self.directory)

    def test_programs_import_nothing_slow(self) -> None:
        for role in starter.ROLES:
            check = (
                f"import sys; sys.path.insert(0, {str(self.directory)!r}); "
                f"import godwitturn.platform.{role} as program; "
                "assert program.__file__.endswith('.pyc'), program.__file__; "
                f"print(sorted({SLOW_MODULES!r} & sys.modules.keys()))"
            )
            result = subprocess.run(
                [sys.executable, "-I", "-c", check],
                cwd="/",
                capture_output=True,
                text=True,
            )
            self.assertEqual("", result.stderr)
            self.assertEqual("[]\n", result.stdout, role)

    def test_entry_refuses_an_unknown_role(self) -> None:
        result = subprocess.run(
            [
                sys.executable,
                str(self.directory / bytecode.ENTRY_NAME),
                "switch",
            ],
            capture_output=True,
            text=True,
        )
        self.assertEqual(starter.EXIT_FAULTY_SETTINGS, result.returncode)
        self.assertIn("'switch'", result.stderr)
