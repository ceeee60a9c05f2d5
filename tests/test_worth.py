"""Where the worth of a played day went."""

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
def written(tmp_path):
    """Writes a report with changes; returns its path."""

    def write(name, **changes):
        path = tmp_path / name
        path.write_text(json.dumps(REPORT | changes))
        return str(path)

    return write


class TestTable:
    """What is printed."""

    def test_one_day(self, written, capsys, snapshot):
        assert worth.main([written("day.json")]) == 0
        assert capsys.readouterr().out == snapshot

    def test_two_days(self, written, capsys, snapshot):
        better = [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.375]]
        other = written("other.json", G=0.661, parts=better)
        assert worth.main([written("day.json"), other]) == 0
        assert capsys.readouterr().out == snapshot

    @pytest.mark.parametrize(
        ("text", "why"), [("{", "not JSON"), ("{}", "'G'"), ("[]", "no report")]
    )
    def test_what_is_no_report(self, tmp_path, capsys, text, why):
        path = tmp_path / "broken.json"
        path.write_text(text)
        assert worth.main([str(path)]) == 1
        told = capsys.readouterr().err
        assert why in told
        assert len(told.splitlines()) == 1
