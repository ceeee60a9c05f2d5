"""Keys of workspaces, as requests carry them."""

import pytest

from mangobay import workspacedirectory

KEY = "kmgjqnirth5mgjy5rcpi"


def make_workspace(name="w", *keys, **fields):
    """Returns a workspace with the given keys."""
    return workspacedirectory.Workspace(
        name=name,
        key_digests=tuple(map(workspacedirectory.digest_key, keys)),
        **fields,
    )


class TestBearer:
    """The key in an Authorization header."""

    @pytest.mark.parametrize(
        "value",
        [
            f"Bearer {KEY}",
            f"bearer {KEY}",
            f"BEARER   {KEY}",
            f"Bearer\t{KEY}",
            f"  Bearer \t {KEY} \t",
        ],
    )
    def test_scheme_in_any_case_and_folded_blanks_are_read(self, value):
        assert workspacedirectory.parse_bearer([value]) == KEY

    @pytest.mark.parametrize(
        "values",
        [
            [],
            [""],
            ["Bearer"],
            ["Bearer "],
            [KEY],
            [f"Basic {KEY}"],
            [f"Bearer{KEY}"],
            [f"Bearer {KEY} {KEY}"],
            [f"Bearer {KEY}\u00e9"],
            ["Bearer \udcff"],
        ],
    )
    def test_anything_else_is_no_key(self, values):
        assert workspacedirectory.parse_bearer(values) is None

    def test_two_headers_are_no_key(self):
        """Another key is checked than the one that a proxy in front checked."""
        value = f"Bearer {KEY}"
        assert workspacedirectory.parse_bearer([value, value]) is None


class TestDirectory:
    """Workspaces by key."""

    def setup_method(self):
        self.directory = workspacedirectory.WorkspaceDirectory(
            [make_workspace("a", KEY, "second"), make_workspace("b", "third")]
        )

    def test_each_key_finds_its_workspace(self):
        for key, name in ((KEY, "a"), ("second", "a"), ("third", "b")):
            assert self.directory.find([f"Bearer {key}"]).name == name

    @pytest.mark.parametrize("key", ["x", "x" * 100_000, KEY[:-1], KEY + "x"])
    def test_unknown_key_finds_none(self, key):
        assert self.directory.find([f"Bearer {key}"]) is None

    def test_digest_of_a_key_is_no_key(self):
        """Whoever reads a node's memory can send requests."""
        digest = workspacedirectory.digest_key(KEY)
        assert self.directory.find([f"Bearer {digest}"]) is None


class TestErrors:
    """Workspaces that make a document invalid."""

    def test_shared_key_names_both_workspaces_and_no_key(self):
        found = list(
            workspacedirectory.shared_by(
                [make_workspace("a", KEY), make_workspace("b", "x", KEY)]
            )
        )
        assert [(each.name, text) for each, text in found] == [
            ("b", "shares a key with a")
        ]

    def test_name_used_twice(self):
        found = list(
            workspacedirectory.shared_by(
                [make_workspace("a", "x"), make_workspace("a", "y")]
            )
        )
        assert [text for _, text in found] == ["the name is used twice"]

    def test_key_twice_in_one_workspace_is_valid(self):
        workspace = make_workspace("a", KEY, KEY)
        assert not list(workspacedirectory.shared_by([workspace]))

    @pytest.mark.parametrize("field", ["rate", "burst"])
    def test_negative_limit(self, field):
        workspace = make_workspace("a", **{field: -1.0})
        assert list(workspacedirectory.workspace_errors(workspace)) == [
            f"the {field} is below 0"
        ]
