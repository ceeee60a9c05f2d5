"""Reading settings files."""

import pytest

from mangobay import control, errors, options, settings
from mangobay.generated import settings as generated

NODE = """\
[host]
name = n1
data_centre = lima
[listen]
outside = 127.0.0.1:7001
local = 127.0.0.1:7002
peer = 127.0.0.1:7003
[control]
hosts = 127.0.0.1:6001 127.0.0.1:6002, 127.0.0.1:6003
"""
CONTROL = """\
[host]
name = c1
data_centre = lima
[listen]
peer = 127.0.0.1:6001
operator = 127.0.0.1:6101
[group]
hosts = 127.0.0.1:6001 127.0.0.1:6002 127.0.0.1:6003
data = /var/lib/mangobay
"""


@pytest.fixture
def load_node(tmp_path):
    """Returns a function that loads the text as the settings of a node."""

    def load(text):
        path = tmp_path / "node.ini"
        path.write_text(text)
        return settings.load(str(path), generated.NODE_SECTIONS, generated.Node)

    return load


@pytest.fixture
def findings_of(tmp_path):
    """Returns a function that returns the findings of a settings text."""

    def find(text, program=generated.Node):
        path = tmp_path / "x.ini"
        path.write_text(text)
        sections = {
            generated.Node: generated.NODE_SECTIONS,
            generated.Control: generated.CONTROL_SECTIONS,
        }[program]
        with pytest.raises(errors.SettingsError) as caught:
            settings.load(str(path), sections, program)
        return [
            str(finding).replace(str(path), "x.ini")
            for finding in caught.value.findings
        ]

    return find


class TestLoad:
    """A valid file."""

    def test_values_and_defaults(self, load_node):
        node = load_node(NODE)
        assert node.host.name == "n1"
        assert node.control.hosts[2] == options.Address("127.0.0.1", 6003)
        assert node.admission.by_importance is True
        assert node.once.copies == 1

    def test_byte_order_mark_and_crlf(self, load_node):
        text = "\ufeff" + NODE.replace("\n", "\r\n")
        assert load_node(text).host.data_centre == "lima"


class TestReceivedBytes:
    """The bound on received bytes."""

    SMALLEST_MACHINE_BYTES = 200_000_000
    IDLE_NODE_BYTES = 60_000_000

    def test_the_default_fits_the_smallest_machine(self, load_node):
        """Guards against a default that leaves no room for what is sent on.

        A response is joined, encoded and framed once it is complete.
        """
        limits = load_node(NODE).limits
        used = limits.received_bytes + 4 * limits.answer_bytes
        room = self.SMALLEST_MACHINE_BYTES - self.IDLE_NODE_BYTES
        assert used < room

    def test_it_has_room_for_two_responses(self, findings_of):
        """Guards against a bound that cuts every long response."""
        text = NODE + "[limits]\nanswer_bytes = 16777216\n"
        [finding] = findings_of(text + "received_bytes = 33554431\n")
        assert finding.startswith(
            "x.ini:12 [limits] received_bytes: must be at least twice"
        )

    def test_it_has_room_for_the_longest_message(self, findings_of):
        """Guards against a connection that each long message closes."""
        text = NODE + "[limits]\nframe_bytes = 50331649\n"
        [finding] = findings_of(text)
        assert finding.startswith(
            "x.ini:10 [limits] received_bytes: must be at least frame_bytes"
        )

    def test_control_hosts_have_room_for_two_messages(self, tmp_path):
        """Guards against a control host that can receive no long sheet."""
        path = tmp_path / "control.ini"
        path.write_text(CONTROL + "[limits]\nsheet_bytes = 100000000\n")
        config = settings.load(
            str(path), generated.CONTROL_SECTIONS, generated.Control
        )
        assert control.received_bytes_bound(config.limits) == 200_000_000


class TestFaults:
    """All errors are reported at once, each with its line."""

    def test_all_together(self, findings_of):
        text = (
            NODE.replace("name = n1", "nmae = n1")
            + "[retires]\nratio = 1\n[once]\ncopies = 9\ncopies = x\n"
        )
        assert findings_of(text) == [
            "x.ini:1 [host] name: must be given:"
            " Name of this host, unique in the system.",
            "x.ini:2 [host] nmae: no such key; did you mean name?",
            "x.ini:10 [retires]: no such section; did you mean retries?",
            "x.ini:13 [once] copies: 'x' is not a whole number",
            "x.ini:14 [once] copies: already given in line 13",
        ]

    def test_lines_that_are_no_settings(self, findings_of):
        found = findings_of(NODE + "loose words\n")
        assert any("x.ini:10" in line for line in found)

    def test_no_section_at_all(self, findings_of):
        assert any("x.ini:1" in line for line in findings_of("name = n1\n"))

    def test_missing_file(self):
        with pytest.raises(errors.SettingsError, match="cannot be read"):
            settings.load(
                "/nonexistent", generated.NODE_SECTIONS, generated.Node
            )

    @pytest.mark.parametrize(
        ("old", "new", "place"),
        [
            ("local = 127.0.0.1", "local = 10.0.0.1", "[listen] local"),
            (":7003", ":7001", "[listen] outside"),
            ("[host]", "[tls]\nkey = k\n[host]", "[tls] certificate"),
            ("127.0.0.1:6002,", "127.0.0.1:6001,", "[control] hosts"),
            (
                "[control]",
                "[control]\nseeds = 10.0.0.1:1 10.0.0.1:1 10.0.0.1:1",
                "[control] seeds",
            ),
            ("[control]", "[control]\nseeds = muc", "[control] seeds"),
        ],
    )
    def test_node_rules(self, findings_of, old, new, place):
        [found] = findings_of(NODE.replace(old, new))
        assert place in found

    @pytest.mark.parametrize(
        ("old", "new", "word"),
        [
            (" 127.0.0.1:6003", "", "odd"),
            ("6002 127.0.0.1:6003", "6002 127.0.0.1:6002", "twice"),
            ("peer = 127.0.0.1:6001", "peer = 127.0.0.1:6009", "own"),
            ("[host]", "[group]\nelection_timeout = 0.2\n[host]", "three"),
            ("data =", "seeds = 10.0.0.1:1 10.0.0.1:1\ndata =", "twice"),
            ("data =", "seeds = muc\ndata =", "[group] seeds: 'muc'"),
            ("data =", "voters = 5\ndata =", "must name control hosts"),
            ("data =", "voters = 5\nseeds =\ndata =", "must name"),
        ],
    )
    def test_control_rules(self, findings_of, old, new, word):
        found = findings_of(CONTROL.replace(old, new), generated.Control)
        assert any(word in line for line in found)


class TestDescribe:
    """The output of `mangobay settings`."""

    def test_shows_default_unit_and_meaning(self):
        text = settings.describe(generated.NODE_SECTIONS)
        assert "# Most calls that wait for a slot." in text
        assert "# integer; in calls; 0 to 100000; has a default" in text
        assert "# queue_length = 256" in text
