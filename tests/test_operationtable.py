"""Tests of the operation table."""

import pytest

from mangobay import errors, ids, operationtable
from mangobay.generated import messages


def operation(name, path="/x", service="units", **fields):
    fields.setdefault("method", "GET")
    return messages.Operation(service=service, name=name, path=path, **fields)


def make_table(*operations):
    update = messages.TableUpdate(revision=1, changed=list(operations))
    return operationtable.OperationTable().updated(update)


class TestFind:
    """Lookup of the operation for a request."""

    def test_literal_segments_precede_wildcards(self):
        table = make_table(
            operation("any", "/a/*/*"),
            operation("end", "/a/*/c"),
            operation("start", "/a/b/*"),
            operation("plain", "/a/b/c"),
        )
        targets = {"/a/b/c?q": "plain", "/a/b/z": "start"}
        targets |= {"/a/z/c": "end", "/a/z/z": "any"}
        for target, name in targets.items():
            assert table.find("units", "GET", target).name == name

    @pytest.mark.parametrize(
        "target", ["/a/b", "/b/", "/b/..", "/b/%2E%2e", "/b/x%2Fy", "/b/c/d"]
    )
    def test_unsafe_and_unknown_targets_match_no_operation(self, target):
        """A wildcard matches exactly one safe segment.

        A backend server that resolves `..` or `%2F` would serve another path
        than the one that the sheet allows, so such segments match nothing.
        """
        table = make_table(operation("one", "/b/*"))
        assert table.find("units", "GET", target) is None
        assert table.find("units", "POST", "/b/c") is None
        assert table.find("other", "GET", "/b/c") is None


class TestAllows:
    """Callers that may call an operation."""

    def test_only_listed_callers_are_allowed(self):
        own = operation("credit", callers=["quotes"])
        everyone = operation("price", callers=[ids.ANY_CALLER], outside=True)
        allows = operationtable.OperationTable.allows
        assert allows(own, "quotes")
        assert not allows(own, "catalogue")
        assert not allows(own, ids.OUTSIDE)
        assert allows(everyone, "catalogue")
        assert allows(everyone, ids.OUTSIDE)


class TestUpdated:
    """Updates from one revision to another."""

    def test_update_with_the_difference_gives_the_new_operations(self):
        old = [operation("a", "/a"), operation("b", "/b")]
        new = [operation("b", "/c"), operation("d", "/d", "other")]
        difference = operationtable.difference(old, new)
        update = messages.TableUpdate(
            revision=2,
            base=1,
            changed=difference.changed,
            removed=difference.removed,
        )
        before = make_table(*old)
        after = before.updated(update)
        assert after.operations() == sorted(new, key=operationtable.sort_key)
        assert before.operations() == old
        assert after.find("units", "GET", "/b") is None
        assert after.updated(update) is after

    def test_base_zero_replaces_all_operations(self):
        update = messages.TableUpdate(
            revision=9, changed=[operation("z", "/z", "other")]
        )
        assert (
            make_table(operation("a")).updated(update).operations()
            == update.changed
        )

    def test_older_revision_is_refused(self):
        """A control host that lags may send an update to an older table.

        It could allow callers again that a newer sheet excludes, so the
        update is refused.
        """
        newer = operationtable.OperationTable(ids.Revision(5))
        with pytest.raises(errors.InvariantError):
            newer.updated(messages.TableUpdate(revision=4))
        with pytest.raises(errors.RevisionMismatchError):
            newer.updated(messages.TableUpdate(revision=7, base=6))
