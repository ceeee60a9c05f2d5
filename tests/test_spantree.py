"""Tests of the command that prints span files as trees."""

import json

from mangobay import cmdline

TRACE = "ab" * 16


def span_line(span: str, parent: str, name: str, second: int) -> str:
    """Returns a line as `filetracer.JsonLinesExporter` writes it."""
    return json.dumps(
        {
            "name": name,
            "context": {"trace_id": f"0x{TRACE}", "span_id": span},
            "parent_id": parent,
            "start_time": f"2026-12-03T00:00:0{second}.000000Z",
            "end_time": f"2026-12-03T00:00:0{second}.002500Z",
            "attributes": {
                "mangobay.host": "h2",
                "mangobay.data_centre": "lima",
                "mangobay.outcome": "answered",
                "mangobay.reason": "none",
                "mangobay.status": 200,
                "mangobay.tries_given": 2,
                "mangobay.tries_left": 1,
            },
            "resource": {"attributes": {"host.name": "leanhttp"}},
        }
    )


class TestShowTrace:
    """`mangobay trace`."""

    def test_spans_of_several_files_form_one_tree(self, tmp_path, capsys):
        first, second = tmp_path / "a", tmp_path / "b"
        first.write_text(span_line("0x1", "0xcaller", "quotes issue", 0))
        second.write_text(
            "\n".join(
                [
                    span_line("0x4", "0x2", "pricing price", 3),
                    span_line("0x3", "0x1", "stock read", 4),
                    span_line("0x2", "0x1", "stock hold", 1),
                    '{"name": "torn',
                ]
            )
        )
        assert cmdline.main(["trace", str(first), str(second)]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [line.partition(":")[0] for line in lines] == [
            f"trace {TRACE}",
            "└─ quotes issue",
            "   ├─ stock hold",
            "   │  └─ pricing price",
            "   └─ stock read",
        ]
        assert "answered 200, 2.5 ms, leanhttp -> h2 (lima)" in lines[1]

    def test_an_unknown_trace_fails(self, tmp_path, capsys):
        path = tmp_path / "a"
        path.write_text(span_line("0x1", "0x0", "quotes issue", 0))
        assert cmdline.main(["trace", str(path), "--trace", "ff"]) == 1
        assert "no matching spans" in capsys.readouterr().out
