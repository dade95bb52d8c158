"""Attempts and load report requests over loopback: results, cancels, connections and the body budget."""

from contextlib import suppress

import gevent
import pytest

from marbleglade.model.attempt import AttemptResult
from marbleglade.model.watch_event import Purge
from marbleglade.runtime import clock
from tests.harness.messages import with_entity_fields
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until


@pytest.mark.parametrize(
    "response, result, body, not_modified",
    [
        (b"t1 HIT - 5\r\n\r\nabc\r\n", AttemptResult.OK, b"\r\nabc", False),
        (b"t1 VALID entity=4be0c1927d55a6f3,issued=5 0\r\n\r\n", AttemptResult.OK, b"", True),
        (b"t1 NONE - 0\r\n\r\n", AttemptResult.MISS, b"", False),
        (b"t1 SHED - 0\r\n\r\n", AttemptResult.REJECTED, b"", False),
        (b"t1 FAULT - 0\r\n\r\n", AttemptResult.ERROR, b"", False),
        (b"t1 LATE - 0\r\n\r\n", AttemptResult.NOT_STARTED, b"", False),
        (b"t9 HIT - 1\r\nx\r\nt1 HIT - 1\r\ny\r\n", AttemptResult.OK, b"y", False),
    ],
)
def test_each_response_status_is_mapped_to_its_result(front, response, result, body, not_modified):
    ended = front.execute_attempt(tag="4be0c1927d55a6f3", meanwhile=front.cache_responds(response))
    assert (ended.result, ended.response.body, ended.not_modified) == (result, body, not_modified)
    front.upstream_client.release_body(ended)
    assert (
        front.body_budget.free_bytes == front.body_budget.max_bytes
        and front.upstream_client.connection_count == 1
    )


@pytest.mark.parametrize(
    "response",
    [
        b"t1 WHAT - 0\r\n\r\n",
        b"t1 PONG - 0\r\n\r\n",
        b"t1 SICK - 0\r\n\r\n",
        b"t1 HIT issued=5 1\r\nx\r\n",
        b"t1 HIT entity=4be0c1927d55a6f3 1\r\nx\r\n",
        b"t1 HIT entity=4be0c192,issued=5 1\r\nx\r\n",
        b"t1 HIT entity=4be0c1927d55a6f3,issued=now 1\r\nx\r\n",
        b"t1 VALID entity=4be0c1927d55a6f3,issued=5 0\r\n\r\n",
        b"t1 HIT entity=4be0c1927d55a6f3,issued=5 3000000000\r\nxxxx",
    ],
)
def test_a_response_that_does_not_match_its_request_closes_the_connection(front, response):
    assert front.execute_attempt(meanwhile=front.cache_responds(response)).result is AttemptResult.RESET
    wait_until(lambda: front.upstream_client.connection_count == 0)
    assert (
        front.body_budget.free_bytes == front.body_budget.max_bytes
        and front.counters.counts["upstream.invalid_response"] == 1
    )


@pytest.mark.parametrize("response", [b"look1 HIT - 1\r\nx\r\n", b"look1 NONE - 0\r\n\r\n"])
def test_a_load_report_request_accepts_only_the_response_to_a_health_check(front, response):
    probe = gevent.spawn(
        front.request_handler.monitor._probe_load, front.upstreams.by_id["s1"].upstream, 500 * NS_PER_MS
    )
    front.cache.wait_for_lines(1)
    front.cache.sockets[0].sendall(with_entity_fields(response))
    probe.get(timeout=TIMEOUT_SECONDS)
    assert (
        front.counters.counts["upstream.invalid_response"]
        == front.counters.counts["upstream.load_report_unanswered"]
        == 1
    )


def test_a_duplicate_response_does_not_answer_a_later_attempt_of_the_same_request(front):
    front.execute_attempt(meanwhile=front.cache_responds(b"t1 NONE - 0\r\n\r\n"))
    front.cache.sockets[0].sendall(b"t1 NONE - 0\r\n\r\n")
    ended = front.execute_attempt(
        meanwhile=front.cache_responds(b"t1 HIT - 1\r\nx\r\n", connection=-1, after_lines=2)
    )
    assert ended.result is AttemptResult.OK and len(front.cache.sockets) == 2


def test_an_idle_connection_is_reused(front):
    for number in (1, 2):
        response = b"t%d HIT - 1\r\nx\r\n" % number
        front.execute_attempt(
            request_id=f"t{number}", meanwhile=front.cache_responds(response, after_lines=number)
        )
    assert len(front.cache.sockets) == 1 and front.counters.counts["upstream.connection_reused"] == 1


def test_a_refused_connection_ends_the_attempt_as_connect_failed(front):
    front.cache.close()
    assert (
        front.execute_attempt().result is AttemptResult.CONNECT_FAILED
        and front.upstream_client.connection_count == 0
    )


@pytest.mark.parametrize("received", [b"", b"t1 HIT - 500\r\nabc", b"no answer at all\r\n"])
def test_an_attempt_whose_connection_is_lost_ends_as_reset(front, received):
    def respond_and_close(order):
        front.cache_responds(received)(order)
        if b"no answer" not in received:
            gevent.sleep(0.01)
            front.cache.sockets[0].close()

    assert front.execute_attempt(meanwhile=respond_and_close).result is AttemptResult.RESET
    wait_until(lambda: front.upstream_client.connection_count == 0)
    assert front.body_budget.free_bytes == front.body_budget.max_bytes


def test_an_attempt_that_times_out_is_cancelled_and_its_connection_not_used_again(front):
    ended = front.execute_attempt(timeout_ms=30)
    assert ended.result is AttemptResult.TIMEOUT and front.cache.wait_for_lines(2) == "undo t1"
    with suppress(OSError):
        front.cache.sockets[0].sendall(with_entity_fields(b"t2 HIT - 3\r\nold\r\n"))
    ended = front.execute_attempt(
        request_id="t2",
        meanwhile=front.cache_responds(b"t2 HIT - 3\r\nnew\r\n", connection=-1, after_lines=3),
    )
    assert (
        ended.response.body == b"new"
        and front.upstream_client.connection_count == 1
        and len(front.cache.sockets) == 2
    )


def test_a_connection_with_bytes_after_its_response_is_not_reused(front):
    front.execute_attempt(meanwhile=front.cache_responds(b"t1 NONE - 0\r\n\r\nt1 NO"))
    front.execute_attempt(
        request_id="t2", meanwhile=front.cache_responds(b"t2 NONE - 0\r\n\r\n", connection=-1, after_lines=2)
    )
    assert len(front.cache.sockets) == 2 and front.upstream_client.connection_count == 1


def test_an_id_that_was_cancelled_on_a_connection_is_not_sent_on_it_again(front):
    assert front.execute_attempt(timeout_ms=30).result is AttemptResult.TIMEOUT
    front.execute_attempt(
        meanwhile=front.cache_responds(b"t1 NONE - 0\r\n\r\n", connection=-1, after_lines=3)
    )
    assert len(front.cache.sockets) == 2


def test_a_cancel_amid_a_response_closes_the_connection(front):
    def respond_in_part_and_cancel(order):
        front.cache_responds(b"t1 HIT - 500\r\nabc")(order)
        wait_until(lambda: front.body_budget.free_bytes < front.body_budget.max_bytes)
        order.result.set(None)

    ended = front.execute_attempt(meanwhile=respond_in_part_and_cancel)
    assert ended.result is AttemptResult.CANCELLED
    assert (
        front.upstream_client.connection_count == 0
        and front.body_budget.free_bytes == front.body_budget.max_bytes
    )


def test_a_cancelled_attempt_ends_at_once_and_is_cancelled_at_the_cache(front):
    def cancel(order):
        front.cache.wait_for_lines(1)
        order.result.set(None)

    started_at = clock.now()
    assert front.execute_attempt(timeout_ms=60_000, meanwhile=cancel).result is AttemptResult.CANCELLED
    assert (
        clock.now() - started_at < TIMEOUT_SECONDS * 1000 * NS_PER_MS
        and front.cache.wait_for_lines(2) == "undo t1"
    )


@pytest.mark.parametrize(
    "event",
    ["cache draining", "source draining", "request finished", "object purged", "source removed"],
)
def test_an_event_before_an_attempt_is_written_withholds_it(front, event):
    _, source = front.apply_endpoints("s1", "s2")

    def apply_event(order):
        match event:
            case "cache draining":
                front.apply_endpoints("s1", state="leaving")
            case "source draining":
                front.apply_endpoints("s2", state="leaving")
            case "request finished":
                order.attempt.request.finished = True
            case "object purged":
                front.request_handler.events.apply(Purge(2, 0, 4, 0))
            case "source removed":
                front.apply_endpoints("s2", complete=True)

    assert front.execute_attempt(meanwhile=apply_event, source=source).result is AttemptResult.CANCELLED
    assert front.cache.lines == []


@pytest.mark.parametrize(
    "change, closed",
    [
        ({"state": "left"}, True),
        ({"started_ms": 5}, True),
        ({"address": ("127.0.0.1", 9)}, True),
        ({"state": "active"}, False),
        ({"state": "leaving"}, False),
    ],
)
def test_idle_connections_to_an_upstream_that_was_removed_restarted_or_moved_are_closed(
    front, change, closed
):
    front.execute_attempt(meanwhile=front.cache_responds(b"t1 NONE - 0\r\n\r\n"))
    front.apply_endpoints("s1", **change)
    assert (front.upstream_client.connection_count == 0) == closed


def test_connections_are_bounded_and_idle_ones_are_closed_for_new_ones(front):
    caches = front.apply_endpoints(*(f"s{number}" for number in range(1, 7)))
    for index, cache in enumerate(caches):
        front.execute_attempt(
            request_id="a",
            cache=cache,
            meanwhile=front.cache_responds(b"a NONE - 0\r\n\r\n", index, index + 1),
        )
    assert front.upstream_client.connection_count == front.upstream_client.pool.max_connections == 4
    busy = [gevent.spawn(front.execute_attempt, 300, "b", lambda _order: None, cache) for cache in caches[:4]]
    front.cache.wait_for_lines(10)
    assert front.execute_attempt(cache=caches[4], request_id="c").result is AttemptResult.NOT_STARTED
    gevent.joinall(busy, timeout=TIMEOUT_SECONDS)
    assert front.counters.counts["upstream.connection_limit"] == 1


def test_requests_share_a_connection_once_descriptors_run_out(front):
    front.upstream_client.pool.max_connections = 1
    attempts = [gevent.spawn(front.execute_attempt, 500, "a")]
    front.cache.wait_for_lines(1)
    attempts += [gevent.spawn(front.execute_attempt, 500, request_id) for request_id in ("b", "c")]
    front.cache.wait_for_lines(3)
    attempts[1].kill()  # as if its client left: it is cancelled, and the other two continue
    assert front.cache.wait_for_lines(4) == "undo b" and len(front.cache.sockets) == 1
    pool = front.upstream_client.pool.by_upstream[front.upstreams.by_id["s1"].upstream]
    assert next(iter(pool.connections)).unanswered
    front.cache.sockets[0].sendall(
        with_entity_fields(b"c HIT - 1\r\nC\r\nb HIT - 1\r\nB\r\na HIT - 1\r\nA\r\n")
    )
    assert [attempts[index].get(timeout=TIMEOUT_SECONDS).response.body for index in (0, 2)] == [b"A", b"C"]
    assert (
        front.counters.counts["upstream.connection_shared"] == 2
        and len(front.upstream_client.pool.by_upstream) == 1
    )


def test_a_response_body_waits_for_the_body_budget(front):
    front.body_budget.reserve(990)

    def release_budget(order):
        front.cache_responds(b"t1 HIT - 500\r\n")(order)
        wait_until(lambda: front.body_budget.has_waiters)
        front.body_budget.release(990)
        front.cache.sockets[0].sendall(b"x" * 500 + b"\r\n")

    ended = front.execute_attempt(meanwhile=release_budget)
    assert len(ended.response.body) == 500 and front.body_budget.free_bytes == 500


def test_the_status_lists_the_policy_state_and_the_connections_of_an_upstream(front):
    sock = front.connect_client()
    sock.sendall(front.request(7))
    front.cache.wait_for_lines(1)
    status = front.request_handler.monitor.status()[0]
    names = ("upstream", "ordered", "in_flight", "connections", "report_age_ms")
    assert [status[name] for name in names] == ["s1", 1, 1, 1, None]
    front.cache.sockets[0].sendall(
        b"9b1f03aa5c7e2d41 HIT report=x1:2,entity=4be0c1927d55a6f3,issued=5 1\r\nx\r\n"
    )
    sock.recv(4096)
    status = front.request_handler.monitor.status()[0]
    assert [status[name] for name in names[1:4]] == [0, 0, 1]
    assert status["report_age_ms"] < 1000 * TIMEOUT_SECONDS
    front.apply_endpoints("s1", state="left")
    assert front.request_handler.monitor.status() == [] and not front.upstream_client.in_flight


def test_the_response_to_a_load_report_request_updates_the_congestion(front):
    cache = front.upstreams.by_id["s1"].upstream
    probe = gevent.spawn(front.request_handler.monitor._probe_load, cache, 500 * NS_PER_MS)
    assert front.cache.wait_for_lines(1) == "top look1"
    front.cache.sockets[0].sendall(b"look1 PONG report=cpu_share:0.5;x1:1.25 0\r\n\r\n")
    probe.get(timeout=TIMEOUT_SECONDS)
    assert cache.congestion == 1.25
