"""Parsing sheets."""

import pytest

from mangobay import errors, sheet
from mangobay.generated import messages

HEADER = (
    "Service;Operation;Method;Path;Importance;Idempotent;Key;Callers;"
    "Outside;Deadline_ms;Tries"
)
ROWS = (
    "quotes;issue;post;/quotes;critical;no;required;;yes;2000;2",
    "catalogue;price;GET;/units/{unit}/price;normal;yes;;quotes;yes;500;1",
)


def text_of(*rows, header=HEADER):
    return "\r\n".join((header, *rows, "")).encode("utf-8-sig")


def findings_of(data):
    with pytest.raises(errors.SheetError) as caught:
        sheet.parse(data, "s.csv")
    return [str(finding) for finding in caught.value.findings]


class TestParse:
    """A valid sheet."""

    def test_rows_are_sorted_operations(self):
        price, issue = sheet.parse(text_of(*ROWS), "s.csv").operations
        assert price == messages.Operation(
            service="catalogue",
            name="price",
            method="GET",
            path="/units/*/price",
            importance=messages.Importance.NORMAL,
            idempotent=True,
            callers=["quotes"],
            outside=True,
            deadline_ms=500,
            tries=1,
        )
        assert issue.key_required
        assert not issue.idempotent

    def test_digest_is_of_the_content(self):
        first = sheet.parse(text_of(*ROWS), "s.csv").digest
        commas = text_of(*reversed(ROWS), ";;;;").decode().replace(";", ",")
        quoted = commas.replace("catalogue,", '"catalogue",').encode()
        assert sheet.parse(quoted, "other").digest == first
        changed = text_of(ROWS[0].replace("2000", "2001"), ROWS[1])
        assert sheet.parse(changed, "s.csv").digest != first


class TestFindings:
    """All errors are reported at once, with row and column."""

    def test_all_rows_together(self):
        found = findings_of(
            text_of(
                "Quotes;issue;SEND;quotes;crtical;maybe;;;yes;0;many",
                "",
                "outside;x;GET;/a/../b;normal;yes;;;;5",
            )
        )
        places = [line.partition(": ")[0] for line in found]
        columns = "service method path importance idempotent deadline_ms tries"
        assert places == [
            f"s.csv:row 2, column {column}" for column in columns.split()
        ] + [f"s.csv:row 4, column {c}" for c in ("service", "path", "tries")]
        assert "did you mean critical?" in found[3]

    def test_columns(self):
        header = HEADER.replace("Tries", "Trys").replace("Key", "Path")
        assert findings_of(text_of(*ROWS, header=header)) == [
            "s.csv:row 1, column Path: occurs twice",
            "s.csv:row 1, column Trys: no such column; did you mean tries?",
            "s.csv:row 1: the column tries is missing",
        ]

    def test_rows_against_each_other(self):
        found = findings_of(
            text_of(
                *ROWS,
                "quotes;issue;GET;/q;low;yes;;;;9;0".replace("low", "high"),
                "catalogue;p;GET;/units/*/price;normal;yes;;qoutes;;9;0",
                "catalogue;q;GET;/q;normal;yes;required;;;9;0",
            )
        )
        assert found == [
            "s.csv:row 6, column key: an idempotent operation needs no key",
            "s.csv:row 4, column operation: quotes issue is in row 2 already",
            "s.csv:row 5, column path: GET /units/*/price of catalogue is in"
            " row 3 already",
            "s.csv:row 5, column callers: no service 'qoutes' in the sheet;"
            " did you mean quotes?",
        ]

    @pytest.mark.parametrize(
        ("data", "word"),
        [
            (b"", "first row"),
            (text_of(), "no operations"),
            (text_of(*ROWS) + b"\xff", "UTF-8"),
            (text_of('a;"b'), "CSV"),
            (b"x" * (sheet.MAX_BYTES + 1), "longer"),
            (text_of(ROWS[0] + ";more"), "outside the columns"),
        ],
    )
    def test_files_that_are_no_sheet(self, data, word):
        assert any(word in line for line in findings_of(data))
