"""Response checks of the benchmark of two regions: each kind of wrong response is counted once."""

import gevent
import pytest

from benchmarks.purge_expectations import PurgeExpectations
from benchmarks.request_results import RequestResults
from benchmarks.request_stream import ClientPool, RequestStream
from marbleglade.testing.object_store import body_of, group_of
from marbleglade.testing.sockets import listening_socket


class ScriptedFront:
    """Answers each request with all of the given pairs of status and body."""

    def __init__(self, responses):
        self.listener = listening_socket()
        self.responses = responses
        self.accept_greenlet = gevent.spawn(self.accept)

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            gevent.spawn(self.serve, sock)

    def serve(self, sock):
        while data := sock.recv(4096):
            tag = data.split(b"\r\n")[4]
            for status, body in self.responses:
                sock.sendall(
                    b"*4\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$0\r\n\r\n$%d\r\n%b\r\n"
                    % (len(tag), tag, len(status), status, len(body), body)
                )

    def close(self):
        self.accept_greenlet.kill()
        self.listener.close()


OBJECT_ID = 0xF << 60 | 5 << 16 << 24
BODY = body_of(OBJECT_ID, 0, 1)


@pytest.mark.parametrize(
    "responses, expected_counts",
    [
        ([(b"ok", BODY)], {}),
        ([(b"ok", BODY)] * 2, {"duplicates": 1}),
        ([(b"ok", BODY[:-1] + b"?")], {"corrupted": 1}),
        ([(b"ok", BODY[:-1])], {"corrupted": 1}),
        ([(b"ok", body_of(OBJECT_ID + 1, 0, 1))], {"corrupted": 1}),
        ([(b"odd", b"")], {"duplicates": 1}),
        ([], {"lost": 1}),
        ([(b"ok", body_of(OBJECT_ID, 0, 2))], {}),
    ],
)
@pytest.mark.parametrize("purged", [False, True])
def test_duplicate_corrupted_lost_and_stale_responses_are_counted(responses, expected_counts, purged):
    front = ScriptedFront(responses)
    pool = ClientPool("d", "east", front.listener.getsockname(), 1, lambda _start, _end: True)
    results = RequestResults()
    purges = PurgeExpectations()
    if purged:
        purges.add(0, group_of(OBJECT_ID), True, -9.0, {"d": -5.0})
        purges.add(0, group_of(OBJECT_ID), True, -9.0, {"d": float("inf")})  # no deadline at this target
    stream = RequestStream(pool, results, 1, 1.0, None)
    stream.running = False
    record = stream.request(OBJECT_ID, False)
    gevent.sleep(0.02)
    purges.check(results)
    stale = purged and record.served and responses[0][1] == BODY
    counts = {
        "lost": results.lost,
        "duplicates": pool.protocol_errors(),
        "corrupted": results.corrupted,
        "stale": results.stale,
    }
    assert counts == {"lost": 0, "duplicates": 0, "corrupted": 0, "stale": int(stale)} | expected_counts
    pool.close()
    front.close()
