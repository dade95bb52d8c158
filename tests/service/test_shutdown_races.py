"""Races between the shutdown of a front and its clients. `docs/crossings.md` has a line for each.

Test doubles that hold back and release bytes, and calls of the listener, force the order of events.
"""

import json
import os
import signal
import time
from contextlib import suppress

import gevent
import orjson
import pytest
from gevent import socket

from marbleglade.runtime.shutdown import GracefulShutdown
from marbleglade.testing.sockets import address_text, free_port
from tests.harness.connections import is_silent, read_bytes
from tests.harness.messages import numbered_request, resp_array, with_entity_fields
from tests.harness.programs import end_process, start_with_piped_log
from tests.harness.servers import LineServer
from tests.harness.settings import front_configuration
from tests.harness.units import NS_PER_MS
from tests.harness.waiting import TIMEOUT_SECONDS, wait_until


def test_a_partly_written_response_is_pending_though_no_request_is_open(front):
    front.serve_from_local_cache(60_000)
    sock, client = front.connect_slow_client()
    sock.sendall(front.request(7))
    wait_until(lambda: client.flush_done)
    assert not len(front.policy_driver.open_requests) and front.client_listener.connections.has_pending_work
    stop = GracefulShutdown(2500 * NS_PER_MS)
    stop.request(0)
    assert not stop.may_exit(
        1000 * NS_PER_MS,
        len(front.policy_driver.open_requests) or front.client_listener.connections.has_pending_work,
    )
    whole = resp_array(b"7", b"ok", b"", b"x" * 60_000)
    assert read_bytes(sock, len(whole)) == whole
    wait_until(lambda: not front.client_listener.connections.has_pending_work)


def test_requests_that_are_unread_at_the_shutdown_are_read_and_answered(program):
    process, client_address, cache, _discovery = program
    sock = socket.create_connection(client_address)
    sock.settimeout(TIMEOUT_SECONDS)
    sock.sendall(resp_array(b"STATUS", b"1", b""))
    sock.recv(100)
    process.send_signal(signal.SIGTERM)
    while orjson.loads(process.stderr.readline())["event"] != "stopping":
        pass
    # From now on the front reads nothing, but the kernel accepts connections and data.
    os.kill(process.pid, signal.SIGSTOP)
    sock.sendall(numbered_request(2, 2))
    late = socket.create_connection(client_address)
    late.settimeout(TIMEOUT_SECONDS)
    late.sendall(numbered_request(1, 3))
    time.sleep(0.9)  # longer than the 0.7 s in which clients may connect
    os.kill(process.pid, signal.SIGCONT)
    cache.wait_for_lines(2)
    for line, back in zip(cache.lines, cache.line_sockets, strict=True):
        back.sendall(with_entity_fields(line.split()[1].encode() + b" HIT - 2\r\nok\r\n"))
    assert sock.recv(4096) == resp_array(b"2", b"ok", b"", b"ok") and sock.recv(10) == b""
    assert late.recv(4096) == resp_array(b"1", b"ok", b"", b"ok") and late.recv(10) == b""
    wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0


def test_requests_that_cross_the_graceful_close_do_not_lose_written_responses(front):
    front.serve_from_local_cache(2_000)
    sock = front.connect_client()
    sock.sendall(front.request(7))
    wait_until(
        lambda: front.counters.counts["answer.ok"] and not front.client_listener.connections.has_pending_work
    )
    sock.sendall(
        resp_array(b"STATUS", b"9", b"") * 50
    )  # sent before the close but read after it, because readers run at the next wait
    front.client_listener.connections.close_all_gracefully()
    assert read_bytes(sock, 1 << 16) == resp_array(
        b"7", b"ok", b"", b"x" * 2_000
    )  # followed by the end of the stream, not a reset
    sock.close()
    wait_until(lambda: not front.client_listener.connections.closing)


def test_all_clients_of_a_graceful_close_at_once_can_read_their_responses(front):
    """Each client has time for it, however many there are: closing with unread bytes would reset it."""
    front.serve_from_local_cache(2_000)
    socks = [front.connect_client() for _ in range(3)]
    for sock in socks:
        sock.sendall(front.request(7, f"{socks.index(sock):016x}"))
    wait_until(
        lambda: (
            front.counters.counts["answer.ok"] == 3 and not front.client_listener.connections.has_pending_work
        )
    )
    for sock in socks:
        sock.sendall(resp_array(b"STATUS", b"9", b"") * 50)
    front.client_listener.connections.close_all_gracefully()
    assert len(front.client_listener.connections.closing) == 3  # no connection was reset
    assert [read_bytes(sock, 1 << 16) for sock in socks] == [resp_array(b"7", b"ok", b"", b"x" * 2_000)] * 3


@pytest.mark.parametrize("state", ["connecting", "waiting", "timed out"])
def test_giving_up_answers_a_request_in_any_state(front, connection_gate, state):
    """The attempt's connection is being opened, its response is awaited, or its timeout is due just then."""
    if state != "connecting":
        connection_gate.set()
    sock = front.connect_client()
    sock.sendall(front.request(7, timeout_ms=30 if state == "timed out" else 1000))
    wait_until(lambda: front.upstream_client.in_flight)
    if state != "connecting":
        front.cache.wait_for_lines(1)
    if state == "timed out":
        time.sleep(0.04)  # no greenlet runs, so that the timeout is due when the requests are given up
    front.policy_driver.give_up_all()
    front.policy_driver.give_up_all()
    response = sock.recv(4096)
    assert response.startswith(b"*4\r\n$1\r\n7\r\n$4\r\nfull\r\n")
    connection_gate.set()
    wait_until(
        lambda: (
            not len(front.policy_driver.open_requests)
            and not front.client_listener.connections.has_pending_work
        )
    )
    gevent.sleep(0.01)
    assert is_silent(sock) and len([line for line in front.cache.lines if line.startswith("do")]) == (
        state != "connecting"
    )


@pytest.fixture
def starting_front(tmp_path):
    """A front during startup, waiting for its configuration from a pipe, and a function that writes it."""
    path = tmp_path / "c.json"
    client_address = f"127.0.0.1:{free_port()}"
    os.mkfifo(path)
    process = start_with_piped_log({"GW_CONFIG": str(path)})

    def write_configuration(discovery, before=lambda: None):
        wait_until(lambda: process.poll() is not None or pipe_is_open(), seconds=10)
        before()
        text = json.dumps(
            front_configuration(listen=client_address, coordinator=address_text(discovery.address))
        )
        os.write(fds.pop(), text.encode().ljust(1 << 16)) and closing.pop()()

    fds, closing = [], []

    def pipe_is_open():
        with suppress(OSError):
            fds.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
            os.set_blocking(fds[0], True)
            closing.append(lambda fd=fds[0]: os.close(fd))
        return fds

    yield process, write_configuration
    end_process(process)


def test_a_reload_signal_during_the_start_is_handled_once_the_front_has_started(starting_front):
    process, write_configuration = starting_front
    old, new = LineServer(), LineServer()
    write_configuration(old, lambda: process.send_signal(signal.SIGHUP))
    while orjson.loads(process.stderr.readline())["event"] != "ready":
        pass
    write_configuration(new)
    assert new.wait_for_lines(1) == "follow 2"
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0
    old.close()
    new.close()


def test_sigterm_during_the_start_exits_with_0(starting_front):
    process, write_configuration = starting_front
    discovery = LineServer()
    with suppress(OSError):
        write_configuration(
            discovery, lambda: (process.send_signal(signal.SIGUSR1), process.send_signal(signal.SIGTERM))
        )
    wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0 and not process.stderr.read()
    discovery.close()
