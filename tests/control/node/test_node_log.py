"""The log lines of a control node."""

import json

from marbleglade.control.node.node_log import NodeLog
from marbleglade.runtime.counters import Counters


def test_a_log_line_has_the_name_of_the_node_and_no_front(tmp_path):
    with (tmp_path / "log").open("wb+") as sink:
        NodeLog("c1", Counters(), sink=sink.fileno()).info("ready", last=4)
        sink.seek(0)
        line = json.loads(sink.read())
    assert list(line) == ["at", "node", "event", "last"]
    assert (line["node"], line["event"], line["last"]) == ("c1", "ready", 4)
