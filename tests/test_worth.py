"""The tables of the worth of simulated days."""

import json

import pytest
import worth

REPORT = {
    "G": 0.601,
    "parts": [["whole day", 0.6, 0.8], ["worst windows", 0.4, 0.375]],
    "prices": [["processor seconds", 120.0, 0.004], ["duties", 0.0, 0.0]],
    "classes": [
        {
            "name": "reads",
            "n": 100,
            "not_owed": 2,
            "late": 3,
            "refused": 4,
            "failed": 5,
            "worth": 0.85,
        }
    ],
    "windows": [
        {
            "name": "0",
            "n": 50,
            "not_owed": 0,
            "late": 0,
            "refused": 0,
            "failed": 1,
            "worth": 0.98,
        }
    ],
    "breaks": {"BUDGET": 1},
}


@pytest.fixture
def write_report(tmp_path):
    """A function that writes a report with changes and returns its path."""

    def write(name, **changes):
        path = tmp_path / name
        path.write_text(json.dumps(REPORT | changes))
        return str(path)

    return write


class TestTable:
    """The printed tables."""

    def test_one_day(self, write_report, capsys, snapshot):
        assert worth.main([write_report("day.json")]) == 0
        assert capsys.readouterr().out == snapshot

    def test_two_days(self, write_report, capsys, snapshot):
        better = [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.375]]
        other = write_report("other.json", G=0.661, parts=better)
        assert worth.main([write_report("day.json"), other]) == 0
        assert capsys.readouterr().out == snapshot

    @pytest.mark.parametrize(
        ("text", "expected"),
        [("{", "not JSON"), ("{}", "'G'"), ("[]", "no report")],
    )
    def test_invalid_report_is_an_error(self, tmp_path, capsys, text, expected):
        path = tmp_path / "broken.json"
        path.write_text(text)
        assert worth.main([str(path)]) == 1
        stderr = capsys.readouterr().err
        assert expected in stderr
        assert len(stderr.splitlines()) == 1
