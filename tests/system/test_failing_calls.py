"""Transient failures of a front's system calls lose no request, response or connection."""

import errno
import signal
from contextlib import suppress

import gevent
import pytest

from tests.harness.messages import numbered_id
from tests.harness.scripted_cache import scripted_caches
from tests.harness.waiting import wait_until


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.EPROTO])
def test_a_failing_accept_during_shutdown_loses_no_request(start_front, error):
    """The kernel has accepted the connections queued behind a failed one; their requests need responses."""
    front = start_front(*scripted_caches())
    front.process.send_signal(signal.SIGTERM)
    wait_until(lambda: front.events("stopping"), 5.0)
    gevent.sleep(0.2)
    with front.stopped(0.7):
        sock = front.connect()
        sock.sendall(front.request(7, numbered_id(1), 5))
        front.control.set("accept_errno", error)
        front.control.set("accept_failures", 3)
    assert sock.recv(1 << 16).startswith(b"*4\r\n$1\r\n7\r\n")


@pytest.mark.parametrize("error", [errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENOBUFS])
def test_a_front_starts_once_its_address_is_free(start_front, error):
    """Its predecessor has not exited yet, or the kernel has no memory for the bind at that moment."""
    front = start_front(*scripted_caches(), faults={"bind_failures": 3, "bind_errno": error})
    assert front.send_page_request(front.connect_client(), 5).status == "ok"
    assert [event["error"] for event in front.events("not_listening")] != []


TRANSIENT_ERRORS = [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN]


@pytest.mark.parametrize("error", TRANSIENT_ERRORS)
def test_a_response_whose_write_failed_transiently_is_written_again(start_front, error):
    """The kernel had no memory for the write at that moment, but the connection still works."""
    front = start_front(*scripted_caches())
    for cache in front.caches:
        cache.script = [cache.hold]
    sock = front.connect()
    sock.sendall(front.request(7, numbered_id(1), 5))
    wait_until(lambda: front.attempts(numbered_id(1)), 5.0)
    front.control.set("send_errno", error)
    front.control.set("send_failures", 3)
    (attempt,) = front.attempts(numbered_id(1))
    cache = next(one for one in front.caches if one.attempts)
    cache.respond(attempt)
    assert sock.recv(1 << 16).startswith(b"*4\r\n$1\r\n7\r\n$2\r\nok")
    assert front.control.get("send_failures") == 0


def test_an_attempt_of_which_no_byte_was_written_is_retried_at_once(start_front):
    """It is not written later, when its client may have left and its deadline would be too long."""
    front = start_front(*scripted_caches())
    front.open_idle_connections()
    front.control.set("send_errno", errno.EAGAIN)
    front.control.set("send_failures", 1)
    sock = front.connect()
    sock.sendall(front.request(7, numbered_id(1), 5))
    assert sock.recv(1 << 16).startswith(b"*4\r\n$1\r\n7\r\n$2\r\nok")
    assert front.counter("attempt.reset") == 1
    assert len(front.attempts(numbered_id(1))) == 1


@pytest.mark.parametrize("error", TRANSIENT_ERRORS)
def test_a_read_that_failed_transiently_loses_no_request(start_front, error):
    """After a failed read from a client, a cache or discovery, a later read returns the data."""
    front = start_front(*scripted_caches())
    front.open_idle_connections()
    for cache in front.caches:
        cache.script = [cache.hold]
    sock = front.connect()
    sock.sendall(front.request(7, numbered_id(1), 5))
    wait_until(lambda: front.attempts(numbered_id(1)), 5.0)
    front.control.set("recv_errno", error)
    front.control.set("recv_failures", 1)
    sock.sendall(front.request(8, numbered_id(2), 6))
    wait_until(lambda: front.control.get("recv_failures") == 0, 5.0)
    wait_until(lambda: front.attempts(numbered_id(2)), 5.0)
    for number in (1, 2):
        attempt = front.attempts(numbered_id(number))[-1]
        front.caches[0].respond(attempt)
    received = b""
    while received.count(b"*4\r\n") < 2:
        received += sock.recv(1 << 16) or pytest.fail(f"connection closed after {received!r}")
    assert received.count(b"\r\n$2\r\nok\r\n") == 2


def test_a_socket_option_that_cannot_be_set_loses_no_connection(start_front):
    """Without TCP_NODELAY data may be delayed, but no request is lost."""
    front = start_front(*scripted_caches())
    front.control.set("setsockopt_failures", 1)
    sock = front.connect()
    sock.sendall(front.request(7, numbered_id(1), 5))
    with suppress(TimeoutError):
        assert sock.recv(1 << 16).startswith(b"*4\r\n$1\r\n7\r\n$2\r\nok")
