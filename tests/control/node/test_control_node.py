"""Event streams from control node processes to watchers and fronts, from connection to shutdown."""

import json
import time

import gevent
from gevent import socket

from marbleglade.model.watch_event import EndpointListChange, Heartbeat
from tests.control.node.control_plane_processes import WAIT_LIMIT_S, wait_until


def test_a_plain_watcher_and_fronts_are_served_from_connection_to_graceful_shutdown(start_plane):
    plane = start_plane(fronts=2)
    watcher, front = plane.watch("follow 0"), plane.front(1)
    wait_until(lambda: watcher.events and front.events)
    greeting = front.lines[0]
    assert (greeting.deployment, greeting.node, greeting.snapshot_to) == ("test", "c1", 1)
    assert isinstance(watcher.lines[0], EndpointListChange)
    plane.discovery.purge(0xABC, 0, 77)
    wait_until(lambda: watcher.last_index == front.last_index == 2)
    wait_until(lambda: Heartbeat(2) in watcher.lines and Heartbeat(2) in front.lines)
    front.send("applied 2", "configured 1")
    exit_code, output, _ = plane.command("status")
    assert exit_code == 0 or "f2" in output  # the status is healthy until the purge deadline has passed
    assert "lacking 1: f2" in output and "absent 1: f2" in output
    second = plane.front(2, start=5)
    wait_until(lambda: second.last_index == 2)
    second.send("applied 2")
    wait_until(lambda: plane.status().fronts[1].applied_index == 2)
    exit_code, output, _ = plane.command("status", "--json")
    purge = json.loads(output)["purges"][-1]
    assert exit_code == 0 and purge["done"] and purge["object"] == f"{0xABC:016x}" and purge["took_ms"] >= 0
    second.send("leave")
    second.close()
    wait_until(lambda: plane.status().fronts[1].has_left and not plane.status().fronts[1].connected)
    plane.discovery.purge(0xDEF, 0, 78)
    wait_until(lambda: front.last_index == 3)
    front.send("applied 3")
    wait_until(lambda: plane.status().fronts[0].applied_index == 3)
    exit_code, output, _ = plane.command("status")
    assert exit_code == 0 and "NOT DONE" not in output and "1 left" in output
    assert plane.processes.stop("c1", WAIT_LIMIT_S) == 0
    wait_until(lambda: watcher.ended and front.ended)


def test_a_front_far_behind_is_sent_a_snapshot_and_live_purges_before_the_snapshot_ends(start_plane):
    plane = start_plane()
    for number in range(3000):
        plane.discovery.purge(1 + number % 400, 0, 1000 + number)
    wait_until(lambda: plane.status().last_index == 3001)
    front = plane.front(1)
    wait_until(lambda: len(front.events) >= 5)
    assert front.lines[0].snapshot_to == 3001 and front.last_index < 3001
    plane.discovery.purge(0xFEED, 0, 9)
    wait_until(lambda: front.purged(0xFEED))
    assert front.last_index < 3001, "the purge was not sent before the end of the snapshot"
    front.send(f"applied {front.last_index}")
    wait_until(lambda: front.ended and plane.closed_count("applied_in_snapshot") == 1)
    reconnected = plane.front(1)
    reconnected.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    wait_until(lambda: reconnected.last_index == 3002)
    numbers = [event.index for event in reconnected.events]
    assert numbers == sorted(set(numbers)) and numbers[-2] == reconnected.lines[0].snapshot_to
    reconnected.send("applied 3002")
    wait_until(lambda: plane.status().fronts[0].applied_index == 3002)
    reconnected.close()
    wait_until(lambda: not plane.status().fronts[0].connected)
    resumed = plane.front(1, stream=reconnected.lines[0].stream, last=3000)
    wait_until(lambda: resumed.events)
    assert not resumed.lines[0].snapshot_to and resumed.events[0].index == 3001


def test_a_stalled_reader_is_closed_and_other_watchers_receive_events_in_time(start_plane):
    plane = start_plane(fronts=2)
    reader = plane.watch("follow 0")
    slow_reader = plane.watch(reading=False)
    slow_reader.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow_reader.send("front f1 1 -", "follow 0")
    wait_until(lambda: plane.status().fronts[0].connected)
    longest_s = 0.0
    while not plane.closed_count("slow"):
        started_at = time.monotonic()
        for number in range(40):  # about 130 KB
            plane.discovery.announce_address("x" * 3000 + str(number), ("127.0.0.1", 8000), "edge")
        wait_until(lambda: reader.last_index == len(plane.discovery.event_lines))
        longest_s = max(longest_s, time.monotonic() - started_at)
        assert len(plane.discovery.event_lines) < 8000
        gevent.sleep(0.1)
    assert longest_s < 2.6
    status = plane.status()
    assert not status.fronts[0].connected and not reader.ended


def test_a_killed_node_starts_another_stream_and_the_status_names_it_and_missing_fronts(start_plane):
    plane = start_plane(nodes=2, fronts=2)
    fronts = [plane.front(number, name=name) for number in (1, 2) for name in ("c1", "c2")]
    wait_until(lambda: all(front.last_index == 1 for front in fronts))
    plane.discovery.purge(7, 0, 70)
    wait_until(lambda: all(front.last_index == 2 for front in fronts))
    fronts[1].send("applied 2")  # f1 at c2
    fronts[2].send("applied 2")  # f2 at c1
    wait_until(
        lambda: plane.status("c2").fronts[0].applied_index == plane.status("c1").fronts[1].applied_index == 2
    )
    assert plane.command("status")[0] == 0
    plane.processes.kill("c1")
    exit_code, output, _ = plane.command("status")
    assert exit_code == 1 and "node c1: NO ANSWER" in output and "lacking 1: f2" in output
    wait_until(lambda: fronts[0].ended and fronts[2].ended)
    plane.start("c1")
    reconnected = plane.front(2, stream=fronts[2].lines[0].stream, last=2)
    wait_until(lambda: reconnected.last_index == 2)
    assert reconnected.lines[0].stream != fronts[2].lines[0].stream and reconnected.lines[0].snapshot_to == 2
    exit_code, output, _ = plane.command("status", "--json")
    assert json.loads(output)["purges"][-1]["lacking"]["first"] == ["f2"], (
        "the acknowledgement was not lost with the old stream"
    )
    reconnected.send("applied 2")
    wait_until(lambda: plane.status("c1").fronts[1].applied_index == 2)
    assert plane.command("status")[0] == 0


def test_a_later_incarnation_of_a_front_replaces_the_earlier_one_and_has_applied_nothing(start_plane):
    plane = start_plane(fronts=1)
    first = plane.front(1, start=10)
    wait_until(lambda: first.last_index == 1)  # a snapshot of the list, reused for the second connection
    assert first.lines[0].snapshot_to == 1
    plane.discovery.purge(7, 0, 70)
    wait_until(lambda: first.purged(7))
    first.send("applied 2")
    wait_until(lambda: plane.status().fronts[0].applied_index == 2)
    second = plane.front(1, start=11, stream=first.lines[0].stream, last=2)
    wait_until(lambda: first.ended and second.last_index == 2)
    assert plane.closed_count("replaced") == 1 and second.lines[0].snapshot_to == 1 and second.purged(7)
    assert plane.status().purges[-1].missing_fronts == 1 and plane.status().fronts[0].applied_index == 0
    second.send("applied 2")
    wait_until(lambda: plane.status().purges[-1].missing_fronts == 0)
