"""Compiles the package to bytecode that starts quickly.

With a fraction of a CPU core, imports take most of a daemon's start-up time:
attrs generates the methods of each class at run time, and annotations import
`typing`. This compiler generates the methods of attrs classes ahead of time
and removes annotations, docstrings and assertions. Line numbers in tracebacks
still match the source.

Frozen classes don't reject assignments in compiled programs; the type checker
and the tests, which run the sources, detect them.
"""

import ast
from collections.abc import Iterator
import importlib.util
import marshal
import pathlib
import struct
import sys

import attrs

PACKAGE_DIRECTORY = pathlib.Path(__file__).parent
# Subpackages that no deployed program imports.
EXCLUDED_SUBPACKAGES = frozenset({"soak", "standins", "tests"})
ENTRY_MODULE = "platform/__main__.py"
ENTRY_NAME = "start.pyc"
# Options of `attrs.define` that the compiler supports. Classes with other
# options keep their decorator.
SUPPORTED_OPTIONS = frozenset({"eq", "frozen", "order", "repr"})
# Methods that `order` adds to a class, which compare fields in order.
_ORDER_OPERATORS = (
    ("__lt__", "<"),
    ("__le__", "<="),
    ("__gt__", ">"),
    ("__ge__", ">="),
)
# Source of the default of a parameter whose field has a factory: Ellipsis,
# which no field takes as its value.
UNSET = "..."


@attrs.define(frozen=True)
class _Field:
    """A field of an attrs class.

    Attributes:
        name: Name of the attribute.
        default: Expression of the default value, None if there is none.
        factory: Expression of the default's factory, None if there is none.
    """

    name: str
    default: ast.expr | None = None
    factory: ast.expr | None = None

    @property
    def parameter_name(self) -> str:
        """Name of the parameter of `__init__`; attrs strips underscores."""
        return self.name.lstrip("_")

    def parameter(self) -> str:
        """Returns the source of the parameter of `__init__`."""
        if self.factory is not None:
            return f"{self.parameter_name}={UNSET}"
        if self.default is not None:
            return f"{self.parameter_name}={ast.unparse(self.default)}"
        return self.parameter_name

    def assignment(self) -> str:
        """Returns the source of the assignment in `__init__`."""
        value = self.parameter_name
        if self.factory is not None:
            default = f"({ast.unparse(self.factory)})()"
            value = f"{default} if {value} is {UNSET} else {value}"
        return f"self.{self.name} = {value}"


def _keywords(call: ast.Call) -> dict[str, ast.expr]:
    return {
        keyword.arg: keyword.value for keyword in call.keywords if keyword.arg
    }


def _is_attrs_call(node: ast.expr | None, name: str) -> bool:
    return isinstance(node, ast.Call) and ast.unparse(node.func) == (
        f"attrs.{name}"
    )


def _parse_field(node: ast.AnnAssign) -> _Field | None:
    """Returns the field that a statement declares, None if unsupported."""
    if not isinstance(node.target, ast.Name):
        return None
    name = node.target.id
    if not _is_attrs_call(node.value, "field"):
        return _Field(name, default=node.value)
    assert isinstance(node.value, ast.Call)
    options = _keywords(node.value)
    if node.value.args or not options.keys() <= {"default", "factory"}:
        return None
    return _Field(name, options.get("default"), options.get("factory"))


def _parse_options(node: ast.ClassDef) -> dict[str, object] | None:
    """Returns the attrs options of a class, None if it is unsupported."""
    if len(node.decorator_list) != 1 or node.bases or node.keywords:
        return None
    decorator = node.decorator_list[0]
    if not _is_attrs_call(decorator, "define"):
        return None
    assert isinstance(decorator, ast.Call)
    options = {
        name: ast.literal_eval(value)
        for name, value in _keywords(decorator).items()
    }
    if options.keys() <= SUPPORTED_OPTIONS and options.get("repr") is False:
        return options
    return None


def _generate_members(fields: list[_Field], options: dict[str, object]) -> str:
    """Returns the source of the members that attrs adds to a class."""
    names = [field.name for field in fields]
    parameters = ["self", *(field.parameter() for field in fields)]
    assignments = [field.assignment() for field in fields] or ["pass"]
    lines = [
        f"__slots__ = {tuple(names)!r}",
        f"__match_args__ = {tuple(names)!r}",
        f"def __init__({', '.join(parameters)}):",
        *(f"    {assignment}" for assignment in assignments),
    ]
    if options.get("eq") is not False:
        own_values = "".join(f"self.{name}, " for name in names)
        other_values = "".join(f"other.{name}, " for name in names)
        lines += [
            "def __eq__(self, other):",
            "    if other.__class__ is not self.__class__:",
            "        return NotImplemented",
            f"    return ({own_values}) == ({other_values})",
        ]
        if options.get("order"):
            for name, operator in _ORDER_OPERATORS:
                lines += [
                    f"def {name}(self, other):",
                    "    if other.__class__ is not self.__class__:",
                    "        return NotImplemented",
                    f"    return ({own_values}) {operator} ({other_values})",
                ]
        if options.get("frozen"):
            lines += [
                "def __hash__(self):",
                f"    return hash(({own_values}))",
            ]
        else:
            lines.append("__hash__ = None")
    return "\n".join(lines)


class _AttrsExpander(ast.NodeTransformer):
    """Generates the members of attrs classes and removes annotations."""

    def visit_ClassDef(self, node: ast.ClassDef) -> ast.AST:
        """Expands an attrs class if its options and fields are supported."""
        options = _parse_options(node)
        declarations = [
            statement
            for statement in node.body
            if isinstance(statement, ast.AnnAssign)
        ]
        fields = [_parse_field(statement) for statement in declarations]
        supported = [field for field in fields if field is not None]
        if options is None or len(supported) < len(fields):
            if not node.decorator_list:
                return self.generic_visit(node)
            return node  # the decorator may read the annotations
        generated = ast.parse(_generate_members(supported, options)).body
        for statement in generated:
            for child in ast.walk(statement):
                ast.copy_location(child, node)
        node.decorator_list = []
        node.body = [
            *(part for part in node.body if part not in declarations),
            *generated,
        ]
        return self.generic_visit(node)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.AST:
        """Removes the annotations of a function."""
        node.returns = None
        arguments = node.args
        for argument in (
            *arguments.posonlyargs,
            *arguments.args,
            *arguments.kwonlyargs,
            arguments.vararg,
            arguments.kwarg,
        ):
            if argument is not None:
                argument.annotation = None
        return self.generic_visit(node)

    def visit_AnnAssign(self, node: ast.AnnAssign) -> ast.AST:
        """Removes an annotation, or a statement that assigns no value."""
        replacement: ast.stmt = ast.Pass()
        if node.value is not None:
            replacement = ast.Assign([node.target], node.value)
        return ast.copy_location(replacement, node)

    def visit_If(self, node: ast.If) -> ast.AST:
        """Removes blocks that only the type checker needs."""
        if ast.unparse(node.test) == "typing.TYPE_CHECKING":
            return ast.copy_location(ast.Pass(), node)
        return self.generic_visit(node)


def _remove_unused_imports(tree: ast.Module) -> None:
    """Removes module-level imports that only annotations used."""
    used = {
        node.id for node in ast.walk(tree) if isinstance(node, ast.Name)
    } | {
        name
        for node in ast.walk(tree)
        if isinstance(node, ast.Import | ast.ImportFrom)
        and node not in tree.body
        for name in [alias.asname or alias.name for alias in node.names]
    }
    kept: list[ast.stmt] = []
    for statement in tree.body:
        if isinstance(statement, ast.Import | ast.ImportFrom):
            statement.names = [
                alias
                for alias in statement.names
                if (alias.asname or alias.name).partition(".")[0] in used
            ]
            if not statement.names:
                continue
        kept.append(statement)
    tree.body = kept


def expand(source: str) -> ast.Module:
    """Returns the syntax tree of a module as it is compiled.

    Supported attrs classes have their members written out, and annotations
    are removed.

    Args:
        source: Source of the module.
    """
    tree = ast.parse(source)
    tree = _AttrsExpander().visit(tree)
    _remove_unused_imports(tree)
    return ast.fix_missing_locations(tree)


def _compile_module(path: pathlib.Path) -> bytes:
    """Returns the contents of a module's bytecode file."""
    code = compile(
        expand(path.read_text(encoding="utf-8")),
        str(path.relative_to(PACKAGE_DIRECTORY.parent)),
        "exec",
        dont_inherit=True,
        optimize=2,
    )
    # Magic number, flags, and the source's time and size. Without a source
    # file, Python doesn't check the last two.
    header = importlib.util.MAGIC_NUMBER + struct.pack("<III", 0, 0, 0)
    return header + marshal.dumps(code)


def _source_files() -> Iterator[pathlib.Path]:
    for path in sorted(PACKAGE_DIRECTORY.rglob("*.py")):
        if not EXCLUDED_SUBPACKAGES & set(
            path.relative_to(PACKAGE_DIRECTORY).parts
        ):
            yield path


def build(directory: pathlib.Path) -> None:
    """Compiles the package into a directory.

    Args:
        directory: Receives the compiled package and `start.pyc`, which runs
            the program of a role.
    """
    for path in _source_files():
        relative = path.relative_to(PACKAGE_DIRECTORY.parent).with_suffix(
            ".pyc"
        )
        compiled = directory / relative
        compiled.parent.mkdir(parents=True, exist_ok=True)
        compiled.write_bytes(_compile_module(path))
    entry = _compile_module(PACKAGE_DIRECTORY / ENTRY_MODULE)
    (directory / ENTRY_NAME).write_bytes(entry)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
