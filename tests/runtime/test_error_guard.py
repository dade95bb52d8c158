"""The error guard counts and logs exceptions."""

import os

import orjson

from marbleglade.runtime.counters import Counters
from marbleglade.runtime.error_guard import ErrorGuard
from marbleglade.runtime.json_log import Log


def test_an_exception_is_counted_and_logged_with_its_line_number():
    read, write = os.pipe()
    counters = Counters()
    guard = ErrorGuard(counters, Log("n1", counters, sink=write))
    assert guard.call("here", lambda: 1 // 0) is None and guard.call("here", lambda: 7) == 7
    line = orjson.loads(os.read(read, 4096))
    assert (line["event"], line["front"], line["where"]) == ("exception", "n1", "here") and line["line"] > 0
    assert counters.table() == {"exception.here": 1}
