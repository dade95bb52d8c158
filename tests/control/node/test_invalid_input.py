"""Control nodes and the `control` command reject invalid requests, settings, names and addresses."""

from gevent import socket

from marbleglade.control.messages import MAX_REQUEST_LINE_BYTES
from tests.control.node.control_plane_processes import wait_until


def test_invalid_input_closes_only_its_own_connection_and_is_counted(start_plane):
    plane = start_plane(fronts=2)
    unaffected_front = plane.front(2)
    wait_until(lambda: unaffected_front.last_index == 1)
    stream = unaffected_front.lines[0].stream
    incomplete = plane.watch()
    incomplete.sock.sendall(b"follow")
    cases = [
        (["hello"], "bad_line"),
        (["follow -1"], "bad_line"),
        (["x" * (MAX_REQUEST_LINE_BYTES + 1)], "long_line"),
        (["front nobody 1 -"], "unknown_front"),
        (["follow 99"], "fell_behind"),
        ([f"front f1 1 {stream}", "follow 99"], "follow_not_sent"),
        (["front f1 2 -", "front f1 2 -"], "out_of_turn"),
        (["applied 1"], "out_of_turn"),
        (["follow 0", "applied 1"], "out_of_turn"),
        (["front f1 3 -", "follow 0", "applied 2"], "applied_not_sent"),
        (["front f1 4 -", "follow 0", "configured 2", "configured 1"], "version_back"),
        (["front f1 3 -", "follow 0"], "earlier_start"),
    ]
    counted = {}
    for requests, reason in cases:
        watcher = plane.watch(*requests)
        wait_until(lambda watcher=watcher: watcher.ended)
        counted[reason] = counted.get(reason, 0) + 1
        assert plane.closed_count(reason) == counted[reason], requests
    restarted = plane.front(1, start=5)
    wait_until(lambda: restarted.last_index == 1)
    restarted.send("applied 1", "applied 0")
    wait_until(lambda: restarted.ended and plane.closed_count("applied_back") == 1)
    unterminated = plane.watch()
    unterminated.sock.sendall(b"a" * (MAX_REQUEST_LINE_BYTES + 1))
    wait_until(lambda: unterminated.ended and plane.closed_count("long_line") == 2)
    wait_until(lambda: incomplete.ended and plane.closed_count("idle") == 1)
    plane.discovery.purge(5, 0, 5)
    wait_until(lambda: unaffected_front.purged(5))
    log = plane.processes.log("c1").path.read_text()
    assert all(f'"{reason}"' in log for reason in counted) and '"exception"' not in log


def test_the_control_command_rejects_invalid_settings_names_and_addresses(start_plane):
    plane = start_plane(running=False)
    exit_code, output, _ = plane.command("check")
    assert exit_code == 0 and "deployment test" in output
    assert plane.command("run", "--name", "c9")[0] == 2
    with socket.socket() as bound:
        bound.bind(plane.addresses["c1"])
        bound.listen(1)
        exit_code, _, errors = plane.command("run", "--name", "c1")
        assert exit_code == 2 and "node c1" in errors
    exit_code, output, _ = plane.command("status", "--timeout", "0.5")
    assert exit_code == 1 and "NO ANSWER" in output
    plane.path.write_text('deployment: "test"\nsurplus: 1\n')
    exit_code, _, errors = plane.command("check")
    assert exit_code == 2 and "surplus" in errors and len(errors.splitlines()) == 1
