"""Writing to the log never blocks the process."""

import fcntl
import os
import select
import signal

import orjson
import pytest

from marbleglade.runtime.counters import Counters
from marbleglade.runtime.json_log import Log


@pytest.fixture
def process_timeout():
    """Fails a test that blocks the whole process; a gevent timeout could not fire while it is blocked."""

    def raise_timeout(*_):
        raise TimeoutError("the process was blocked")

    previous = signal.signal(signal.SIGALRM, raise_timeout)
    signal.setitimer(signal.ITIMER_REAL, 5)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0)
    signal.signal(signal.SIGALRM, previous)


def test_a_log_that_nobody_reads_does_not_block():
    _read, write = os.pipe()
    os.set_blocking(write, False)
    while True:
        try:
            os.write(write, b"x" * 4096)
        except BlockingIOError:
            break
    os.set_blocking(write, True)
    counters = Counters()
    Log("n1", counters, sink=write).info("event")
    assert counters.table() == {"log.dropped": 1}


@pytest.mark.usefixtures("process_timeout")
def test_a_long_line_on_a_full_pipe_does_not_block():
    """A pipe that is ready accepts less at once than a long line, such as the counters of 200 upstreams."""
    read, write = os.pipe()
    fcntl.fcntl(write, fcntl.F_SETPIPE_SZ, 4 * select.PIPE_BUF)
    counters = Counters()
    log = Log("n1", counters, sink=write)
    log.info("counters", upstreams=["x" * 100] * 1000)
    log.info("dropped")
    assert counters.table() == {"log.dropped": 1}
    data = b""
    while not data.endswith(b'"last"}\n'):  # a partly written line is completed before the next one
        data += os.read(read, 1 << 16)
        log.info("last")
    first, *more = map(orjson.loads, data.splitlines())
    assert len(first["upstreams"]) == 1000 and more and {event["event"] for event in more} == {"last"}
