"""An exception during a request neither prevents its response nor ends another request.

The tests raise an exception in each call between the read of a request and the write of its response.
"""

import gevent
import pytest

from marbleglade.model.policy_protocol import PolicyProtocol
from marbleglade.policy_driver import PolicyDriver
from marbleglade.request_handler import RequestHandler
from marbleglade.request_log import RequestLog
from marbleglade.transport import response_encoder
from marbleglade.transport.request_dispatcher import RequestDispatcher
from marbleglade.transport.upstream_client import UpstreamClient
from tests.harness.messages import resp_array, with_entity_fields
from tests.harness.waiting import wait_until

OTHER_ID = "0000000000000008"
FAULT_RESPONSE = resp_array(b"7", b"fault", b"", b"")


def fail_once(call):
    """Wraps a function so that its first call raises an exception."""
    failures = [ZeroDivisionError()]

    def fail_or_call(*arguments, **named):
        if failures:
            raise failures.pop()
        return call(*arguments, **named)

    return fail_or_call


def exception_count(front):
    """The number of exceptions that the front has caught and counted."""
    return sum(count for name, count in front.counters.counts.items() if name.startswith("exception."))


def read_responses(sock, count):
    """Reads `count` responses, and returns their bytes."""
    received = b""
    with gevent.Timeout(2):
        while received.count(b"*4\r\n") < count:
            received += sock.recv(4096) or pytest.fail(f"connection closed after {received!r}")
    return received


CALLS = {
    "admit": lambda front: (front.request_handler, RequestHandler.admit.__name__),
    "capacity": lambda front: (front.request_handler, RequestHandler.over_capacity.__name__),
    "immediate answer": lambda front: (front.request_handler, RequestHandler.answer_immediately.__name__),
    "cached object": lambda front: (front.request_handler, RequestHandler.attach_cached.__name__),
    "first decision": lambda front: (front.policy_driver.policy, PolicyProtocol.handle_request.__name__),
    "run": lambda front: (front.request_handler, RequestHandler.run.__name__),
    "next step": lambda front: (front.policy_driver, PolicyDriver.next_step.__name__),
    "attempt": lambda front: (front.upstream_client, UpstreamClient.execute.__name__),
    "report": lambda front: (front.policy_driver, PolicyDriver.report_result.__name__),
    "decision": lambda front: (front.request_handler._request_log, RequestLog.finished.__name__),
    "answer": lambda front: (
        front.client_listener.reader._dispatcher,
        RequestDispatcher._respond.__name__,
    ),
    "encoding": lambda _front: (response_encoder, response_encoder.encode_response.__name__),
}


@pytest.mark.parametrize("call", CALLS)
def test_an_exception_in_any_call_ends_only_its_own_request_with_a_response(front, monkeypatch, call):
    sock = front.connect_client()
    sock.sendall(front.request(8, OTHER_ID))  # another request on the same connection, in flight at the cache
    front.cache.wait_for_lines(1)
    owner, name = CALLS[call](front)
    monkeypatch.setattr(owner, name, fail_once(getattr(owner, name)))
    sock.sendall(front.request(7))
    wait_until(lambda: len(front.cache.lines) == 2 or exception_count(front))
    # Responds to the request under test first, so that the exception occurs in that request.
    lines = list(zip(front.cache.lines, front.cache.line_sockets, strict=True))
    for line, cache in sorted(lines, key=lambda line_and_socket: OTHER_ID in line_and_socket[0]):
        cache.sendall(with_entity_fields(line.split()[1].encode() + b" HIT - 1\r\nx\r\n"))
        wait_until(lambda: exception_count(front))
    received = read_responses(sock, 2)
    assert resp_array(b"8", b"ok", b"", b"x") in received
    assert FAULT_RESPONSE in received or resp_array(b"7", b"ok", b"", b"x") in received
    wait_until(
        lambda: (
            not len(front.policy_driver.open_requests)
            and not front.client_listener.connections.has_pending_work
        )
    )
    assert exception_count(front) == 1


def test_giving_up_all_requests_reaches_each_although_the_policy_fails_for_one(front, monkeypatch):
    sock = front.connect_client()
    sock.sendall(front.request(7) + front.request(8, OTHER_ID))
    front.cache.wait_for_lines(2)
    monkeypatch.setattr(
        front.policy_driver.policy,
        PolicyProtocol.client_disconnected.__name__,
        fail_once(lambda _request: None),
    )
    front.guard.call("give_up_all", front.policy_driver.give_up_all)
    received = read_responses(sock, 2)
    assert (
        resp_array(b"7", b"fault", b"", b"") in received or resp_array(b"8", b"fault", b"", b"") in received
    )
    wait_until(lambda: not len(front.policy_driver.open_requests))
