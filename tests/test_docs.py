"""What the documents name exists."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", *ROOT.glob("docs/**/*.md")])
LINK = re.compile(r"\]\(([^)#\s]+)[^)]*\)")
TEST = re.compile(r"tests/test_\w+\.py::Test\w+::test_\w+")
FILE = re.compile(r"`((?:tests|bench|tools|mangobay|examples)/[\w./]+)`")
MODULES = re.compile(r"`([a-z]+)`")


def name_of(page: pathlib.Path) -> str:
    """Returns a page's path for the test's name."""
    return str(page.relative_to(ROOT))


class TestPages:
    """Links, files, tests and modules."""

    @pytest.mark.parametrize("page", PAGES, ids=name_of)
    def test_what_is_named_is_there(self, page):
        text = page.read_text()
        links = [
            page.parent / link
            for link in LINK.findall(text)
            if "://" not in link
        ]
        files = [ROOT / name for name in FILE.findall(text)]
        assert [path for path in links + files if not path.exists()] == []

    @pytest.mark.parametrize("page", PAGES, ids=name_of)
    def test_named_tests_are_defined(self, page):
        for named in TEST.findall(page.read_text()):
            path, kind, test = named.split("::")
            source = (ROOT / path).read_text()
            body = source.partition(f"class {kind}")[2].partition("\nclass ")
            assert f"def {test}(" in body[0], named

    def test_every_module_stands_in_the_architecture(self):
        page = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
        section = page.partition("## Modules")[2]
        rows = [line for line in section.splitlines() if line[:3] == "| `"]
        listed = [name for row in rows for name in MODULES.findall(row)]
        modules = {path.stem for path in ROOT.glob("mangobay/*.py")}
        assert sorted(listed) == sorted(modules - {"__init__"})
