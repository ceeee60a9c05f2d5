"""Writes mangobay/generated/ from schema/; `--check` only compares."""

import argparse
import enum
import pathlib
import re
import subprocess
import sys
import tomllib

import capnp

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
TARGET = ROOT / "mangobay" / "generated"
ID_ANNOTATION = 0xC0D1A5B7E2F34861
PACKED_ANNOTATION = 0xC7A2D94B10E6F358
INTEGERS = frozenset(
    f"{sign}int{bits}" for sign in ("", "u") for bits in (8, 16, 32, 64)
)
NOTICE = "Written by tools/generate.py; change the schema instead."


class Kind(enum.Enum):
    """How a field of the schema is held in Python."""

    PLAIN = "plain"
    ENUM = "enum"
    STRUCT = "struct"
    PLAIN_LIST = "plain list"
    STRUCT_LIST = "struct list"
    PACKED = "packed headers"


def snake(name: str) -> str:
    """Returns a camelCase name of the schema in Python's case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


class Field:
    """One field of a message: its Python type, default, writer and reader.

    Attributes:
      factory: expression of a default that each message has its own of; empty
        where all share `default`.
    """

    def __init__(self, field, names: dict[int, str]):
        self.wire = field.name
        self.name = snake(field.name)
        self.in_union = field.discriminantValue != 0xFFFF
        self.new_type = next(
            (a.value.text for a in field.annotations if a.id == ID_ANNOTATION),
            "",
        )
        self.factory = ""
        slot = field.slot.type
        which = str(slot.which())
        self.kind = Kind.PLAIN
        if any(a.id == PACKED_ANNOTATION for a in field.annotations):
            self.kind = Kind.PACKED
            self.type = "list[Header]"
            self.factory = "[]"
        elif which == "enum":
            self.kind = Kind.ENUM
            self.type = names[slot.enum.typeId]
            self.default = f"{self.type}(0)"
        elif which == "struct":
            self.kind = Kind.STRUCT
            self.type = names[slot.struct.typeId]
            self.factory = f"{self.type}()"
        elif which == "list":
            self._take_list(slot.list.elementType, names)
        else:
            self._take_plain(which)

    def _take_list(self, element, names: dict[int, str]) -> None:
        which = str(element.which())
        self.factory = "[]"
        if which == "struct":
            self.kind = Kind.STRUCT_LIST
            self.item = names[element.struct.typeId]
            self.type = f"list[{self.item}]"
            return
        self.kind = Kind.PLAIN_LIST
        self.type = f"list[{'int' if which in INTEGERS else 'str'}]"

    def _take_plain(self, which: str) -> None:
        if which in INTEGERS:
            base, literal = "int", "0"
        elif which == "bool":
            base, literal = "bool", "False"
        elif which == "data":
            base, literal = "bytes", 'b""'
        elif which == "float64":
            base, literal = "float", "0.0"
        else:
            base, literal = "str", '""'
        self.type = f"ids.{self.new_type}" if self.new_type else base
        self.default = f"{self.type}({literal})" if self.new_type else literal

    def parameter(self) -> str:
        """Returns the parameter of the constructor."""
        if self.factory:
            return f"{self.name}: {self.type} | None = None"
        return f"{self.name}: {self.type} = {self.default}"

    def assignment(self) -> str:
        """Returns the statement of the constructor."""
        value = self.name
        if self.factory:
            value = f"{self.factory} if {value} is None else {value}"
        return f"self.{self.name} = {value}"

    def write_lines(self) -> list[str]:
        """Returns the statements that put the field into a builder."""
        mine = f"message.{self.name}"
        match self.kind:
            case Kind.PLAIN | Kind.ENUM:
                value = f"int({mine})" if self.kind is Kind.ENUM else mine
                return [
                    f"    if {mine}:",
                    f"        builder.{self.wire} = {value}",
                ]
            case Kind.PLAIN_LIST:
                return [
                    f"    if {mine}:",
                    f"        builder.{self.wire} = {mine}",
                ]
            case Kind.PACKED:
                return [
                    f"    if {mine}:",
                    f"        builder.{self.wire} = _pack_headers({mine})",
                ]
            case Kind.STRUCT:
                return [
                    f"    _put_{snake(self.type)}(builder.{self.wire}, {mine})"
                ]
        return [
            f"    if {mine}:",
            f'        items = builder.init("{self.wire}", len({mine}))',
            f"        for position, item in enumerate({mine}):",
            f"            _put_{snake(self.item)}(items[position], item)",
        ]

    def read_expression(self) -> str:
        """Returns the expression that takes the field out of a reader."""
        theirs = f"get({self.name})"
        match self.kind:
            case Kind.PLAIN:
                # Any value may stand for a NewType; to say so costs a call.
                return theirs
            case Kind.ENUM:
                return f"{self.type}({theirs}.raw)"
            case Kind.STRUCT:
                return f"_get_{snake(self.type)}({theirs})"
            case Kind.PLAIN_LIST:
                return f"list({theirs})"
            case Kind.PACKED:
                return f"_unpack_headers({theirs})"
        return f"[_get_{snake(self.item)}(item) for item in {theirs}]"


HELPERS = """

def _fields_of(struct, *names: str) -> tuple:
    fields = struct.schema.fields
    return tuple(fields[name] for name in names)


def _is_single_segment(data: bytes) -> bool:
    # The frame of such a message is the number of segments less one, and the
    # words of the segment.  Reading the segment itself costs a third.
    if len(data) < _SINGLE_SEGMENT_FRAME.size:
        return False
    more_segments, words = _SINGLE_SEGMENT_FRAME.unpack_from(data)
    return not more_segments and len(data) == 8 * (1 + words)


def _pack_headers(headers: list[Header]) -> bytes:
    lines = [f"{header.name}:{header.value}" for header in headers]
    return "\\n".join(lines).encode("utf-8", "surrogateescape")


def _unpack_headers(data: bytes) -> list[Header]:
    if not data:
        return []
    lines = data.decode("utf-8", "surrogateescape").split("\\n")
    parts = [line.partition(":") for line in lines]
    return [Header(name=name, value=value) for name, _, value in parts]
"""


def enum_lines(name: str, schema) -> list[str]:
    """Returns the class of an enumeration."""
    lines = ["", "", f"class {name}(enum.IntEnum):"]
    lines += [f'    """Enumeration {name} of schema/messages.capnp."""', ""]
    for position, item in enumerate(schema.node.enum.enumerants):
        lines.append(f"    {snake(item.name).upper()} = {position}")
    # Enum hashes its name in Python, on each look into a set or table.
    lines += ["", "    __hash__ = int.__hash__"]
    return lines


def class_lines(name: str, plain: list[Field], has_body: bool) -> list[str]:
    """Returns the data class of a message, with its constructor."""
    names = [field.name for field in plain] + ["body"] * has_body
    annotations = [f"    {field.name}: {field.type}" for field in plain]
    parameters = [field.parameter() for field in plain]
    statements = [f"        {field.assignment()}" for field in plain]
    if has_body:
        annotations.append(f"    body: {name}Body")
        parameters.append(f"body: {name}Body | None = None")
        statements.append("        self.body = body")
    lines = [
        *["", ""],
        "@dataclasses.dataclass(init=False, repr=False, eq=False)",
        f"class {name}(valueobjects.Value):",
        f'    """Message {name} of schema/messages.capnp."""',
        "",
        f"    __slots__ = {tuple(names)!r}",
        *annotations,
    ]
    if not names:
        return lines
    quoted = ", ".join(repr(each) for each in names)
    return [
        *lines,
        f"    fields_of = operator.attrgetter({quoted})",
        "",
        f"    def __init__(self, *, {', '.join(parameters)}) -> None:",
        *statements,
    ]


def reader_lines(name: str, plain: list[Field]) -> list[str]:
    """Returns the head of the reader of a message.

    Reading by field saves the search for the field's name in the schema.
    """
    function = ["", "", f"def _get_{snake(name)}(reader) -> {name}:"]
    if not plain:
        return function
    constant = f"_{snake(name).upper()}_FIELDS"
    wire_names = ", ".join(f'"{field.wire}"' for field in plain)
    local_names = ", ".join(field.name for field in plain)
    return [
        *["", "", f"{constant} = _fields_of(_schema.{name}, {wire_names})"],
        *function,
        "    get = reader._get_by_field",
        f"    {local_names}{',' * (len(plain) == 1)} = {constant}",
    ]


def struct_lines(name: str, fields: list[Field]) -> list[str]:
    """Returns the data class of a message with its writer and reader."""
    plain = [field for field in fields if not field.in_union]
    union = [field for field in fields if field.in_union]
    lines = class_lines(name, plain, has_body=bool(union))
    lines += ["", "", f"def _put_{snake(name)}(builder, message) -> None:"]
    lines += [line for field in plain for line in field.write_lines()]
    if union:
        lines.append("    match message.body:")
        for field in union:
            lines.append(f"        case {field.type}() as body:")
            lines.append(
                f'            _put_{snake(field.type)}(builder.init("{field.wire}"), body)'
            )
    if not fields:
        lines.append("    del builder, message")
    lines += reader_lines(name, plain)
    lines.append(f"    return {name}(")
    lines += [
        f"        {field.name}={field.read_expression()}," for field in plain
    ]
    if union:
        lines.append(f"        body=_get_{snake(name)}_body(reader),")
    lines.append("    )")
    if union:
        lines += ["", "", f"def _get_{snake(name)}_body(reader):"]
        lines.append("    match reader._which_str():")
        for field in union:
            lines.append(f'        case "{field.wire}":')
            lines.append(
                f'            return _get_{snake(field.type)}(reader._get("{field.wire}"))'
            )
        lines.append('    raise ValueError("the message holds no known body")')
    return lines


def codec_lines(name: str) -> list[str]:
    """Returns the public encoder and decoder of a message that travels alone."""
    low = snake(name)
    return [
        *["", "", f"def encode_{low}(message: {name}) -> bytes:"],
        f'    """Returns the Cap\'n Proto bytes of a message {name}."""',
        f"    builder = _schema.{name}.new_message()",
        f"    _put_{low}(builder, message)",
        "    return builder.to_bytes()",
        *["", "", f"def decode_{low}(data: bytes) -> {name}:"],
        f'    """Returns the {name} in the bytes.',
        "",
        "    Raises:",
        "      capnp.KjException: the bytes are not such a message.",
        '    """',
        "    if _is_single_segment(data):",
        f"        return _get_{low}(",
        f"            _schema.{name}.from_segments(",
        "                [data[8:]],",
        "                traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,",
        "            )",
        "        )",
        f"    with _schema.{name}.from_bytes(",
        "        data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS",
        "    ) as reader:",
        f"        return _get_{low}(reader)",
    ]


ALONE = ("Envelope", "LogEntry", "Snapshot", "HardState")


def messages_module() -> str:
    """Returns the text of mangobay/generated/messages.py."""
    module = capnp.load(str(SCHEMA / "messages.capnp"))
    nodes = [(n.name, n.id) for n in module.schema.node.nestedNodes]
    names = {number: name for name, number in nodes}
    lines = [f'"""Messages between the processes.  {NOTICE}"""', ""]
    lines += ["from __future__ import annotations", ""]
    lines += ["import dataclasses", "import enum", "import operator"]
    lines += ["import pathlib", "import struct", ""]
    lines += ["import capnp", "", "from mangobay import ids, valueobjects", ""]
    lines.append(
        '_schema = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))'
    )
    lines.append("TRAVERSAL_LIMIT_WORDS = 1 << 27")
    lines.append('_SINGLE_SEGMENT_FRAME = struct.Struct("<II")')
    lines += HELPERS.splitlines()
    unions: list[str] = []
    for name, _ in nodes:
        if name[0].islower():
            continue
        item = getattr(module, name)
        if str(item.schema.node.which()) == "enum":
            lines += enum_lines(name, item.schema)
            continue
        fields = [
            Field(field, names) for field in item.schema.node.struct.fields
        ]
        union = [field.type for field in fields if field.in_union]
        if union:
            lines += ["", "", f"{name}Body = {' | '.join(union)}"]
            unions.append(name)
        lines += struct_lines(name, fields)
    for name in ALONE:
        lines += codec_lines(name)
    return "\n".join(lines) + "\n"


def settings_class(name: str, about: str, types: dict[str, str]) -> list[str]:
    """Returns the data class of some settings, by the type of each."""
    quoted = ", ".join(repr(each) for each in types)
    parameters = ", ".join(f"{each}: {kind}" for each, kind in types.items())
    return [
        *["", ""],
        "@dataclasses.dataclass(init=False, repr=False, eq=False)",
        f"class {name}(valueobjects.FrozenValue):",
        f'    """{about}"""',
        "",
        f"    __slots__ = {tuple(types)!r}",
        *(f"    {each}: {kind}" for each, kind in types.items()),
        f"    fields_of = operator.attrgetter({quoted})",
        "",
        f"    def __init__(self, *, {parameters}) -> None:",
        "        put = object.__setattr__",
        *(f'        put(self, "{each}", {each})' for each in types),
    ]


def settings_module() -> str:
    """Returns the text of mangobay/generated/settings.py."""
    document = tomllib.loads((SCHEMA / "settings.toml").read_text())
    lines = [f'"""Settings of the programs.  {NOTICE}"""', ""]
    lines += ["import dataclasses", "import operator", ""]
    lines += ["from mangobay import options, valueobjects", ""]
    for program, sections in document.items():
        for section, keys in sections.items():
            lines += _section_lines(program, section, keys)
        lines += settings_class(
            program.title(),
            f"Every setting of mangobay-{program}.",
            {section: _section_class(program, section) for section in sections},
        )
        lines += ["", "", f"{program.upper()}_SECTIONS = {{"]
        for section in sections:
            name = _section_class(program, section)
            lines.append(
                f'    "{section}": ({name}, {_constant(program, section)}),'
            )
        lines.append("}")
    return "\n".join(lines) + "\n"


def _section_class(program: str, section: str) -> str:
    return f"{program.title()}{section.title().replace('_', '')}"


def _constant(program: str, section: str) -> str:
    return f"{program}_{section}_options".upper()


PYTHON_TYPES = {
    "text": "str",
    "integer": "int",
    "number": "float",
    "duration": "float",
    "boolean": "bool",
    "address": "options.Address",
    "addresses": "tuple[options.Address, ...]",
    "path": "str",
    "choice": "str",
}


def _section_lines(program: str, section: str, keys: dict) -> list[str]:
    lines = settings_class(
        _section_class(program, section),
        f"Section [{section}] of the settings of mangobay-{program}.",
        {key: PYTHON_TYPES[about["type"]] for key, about in keys.items()},
    )
    lines += ["", "", f"{_constant(program, section)} = ("]
    for key, about in keys.items():
        arguments = [
            f"name={key!r}",
            f"kind=options.Kind.{about['type'].upper()}",
        ]
        for word in ("default", "unit", "low", "high", "choices", "help"):
            if word in about:
                value = tuple(about[word]) if word == "choices" else about[word]
                arguments.append(f"{word}={value!r}")
        lines.append(f"    options.Option({', '.join(arguments)}),")
    lines.append(")")
    return lines


def formatted(text: str) -> str:
    """Returns the text as the project's formatter writes it."""
    command = [
        sys.executable,
        "-m",
        "ruff",
        "format",
        "--stdin-filename",
        "x.py",
        "-",
    ]
    done = subprocess.run(
        command,
        input=text,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return done.stdout


def outputs() -> dict[str, str]:
    """Returns every generated file by name."""
    return {
        "__init__.py": '"""Code written by tools/generate.py from schema/."""\n',
        "messages.capnp": (SCHEMA / "messages.capnp").read_text(),
        "messages.py": formatted(messages_module()),
        "settings.py": formatted(settings_module()),
    }


def main() -> int:
    """Writes or compares the generated files; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only compare")
    arguments = parser.parse_args()
    stale = 0
    for name, text in outputs().items():
        path = TARGET / name
        if path.exists() and path.read_text() == text:
            continue
        if arguments.check:
            print(f"{path.relative_to(ROOT)}: differs from what schema/ gives")
            stale += 1
            continue
        path.write_text(text)
        print(f"{path.relative_to(ROOT)}: written")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
