"""The deploy file as the platform's standing test requires it, and the process that its `run` line starts."""

import importlib.util
import json
import os
import shlex
import shutil
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from gevent import socket

from marbleglade.testing.sockets import address_text, free_port
from tests.harness.messages import GROUP_PURGE_LINE, numbered_request, resp_array, with_entity_fields
from tests.harness.programs import ROOT, end_process, start_process, started_front
from tests.harness.servers import LineServer, bound_socket
from tests.harness.settings import front_configuration
from tests.harness.waiting import START_TIMEOUT_SECONDS, wait_until

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# `run` uses the virtual environment of the checkout; without one, tests use their own interpreter.
RUN = (
    DEPLOY["run"]
    if (ROOT / ".venv/bin/python").exists()
    else DEPLOY["run"].replace(".venv/bin/python", sys.executable)
)
# Columns of /proc/net tables: local address and port in hex, state (0A is listening), and inode.
LOCAL, STATE, INODE = 1, 3, 9


def loaded_modules(code: str) -> list[str]:
    """Return the modules that are loaded after running `code` in a new process."""
    text = f"{code}\nimport sys\nprint(*sys.modules)"
    return subprocess.run(
        [sys.executable, "-O", "-c", text], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()


def test_run_replaces_the_shell_by_one_program():
    line = shlex.shlex(DEPLOY["run"], posix=True, punctuation_chars=True)
    line.whitespace_split = True
    # Signals that the shell ignores stay ignored after exec, see the test of a signal during startup below.
    assert list(line) == [
        "trap",
        "",
        "HUP",
        "USR1",
        ";",
        "exec",
        ".venv/bin/python",
        "-O",
        "-m",
        "marbleglade",
    ]
    assert DEPLOY["packages"] == []


def test_build_compiles_each_module_as_run_and_sim_load_it(tmp_path):
    """The file system is read-only at runtime: modules that the build omits are compiled at each start."""
    compile_all = DEPLOY["build"].rpartition(" && ")[2]
    assert compile_all.startswith(".venv/bin/python -m compileall ")
    shutil.copytree(
        ROOT / "marbleglade", tmp_path / "marbleglade", ignore=shutil.ignore_patterns("__pycache__")
    )
    library = tmp_path / ".venv" / "lib"
    library.mkdir(parents=True)
    (library / "used.py").write_text("USED = True\n")
    (tmp_path / ".venv" / "bin").symlink_to(Path(sys.executable).parent)
    subprocess.run(["/bin/sh", "-c", compile_all], cwd=tmp_path, check=True)
    for source in tmp_path.rglob("marbleglade/**/*.py"):
        for optimization in ("", "1"):
            cached = importlib.util.cache_from_source(str(source), optimization=optimization)
            assert Path(cached).exists(), cached
    assert len(list(library.glob("__pycache__/used.*.pyc"))) == 2


def test_node_and_policy_list_every_file_that_the_front_loads():
    # The `run` line has no arguments, so it loads these modules and none of the command line.
    modules = {
        module
        for module in loaded_modules("import marbleglade.__main__, marbleglade.service.front_process")
        if module.startswith("marbleglade.")
    }
    listed = [ROOT / path for path in DEPLOY["node"] + DEPLOY["policy"]]
    assert all(path.exists() for path in listed) and len(modules) > 20
    for module in modules:
        path = ROOT / (module.replace(".", "/"))
        files = path, path.with_suffix(".py"), path / "__init__.py", *path.parents
        assert any(path in files for path in listed), module


def test_the_front_loads_nothing_that_starts_processes_or_needs_the_extras():
    modules = loaded_modules("import marbleglade.__main__, marbleglade.service.front_process")
    refused = {
        "multiprocessing",
        "concurrent.futures",
        "pty",
        "click",
        "google.protobuf",
        "structlog",
        "lmdb",
    }
    assert not refused & set(modules)


def start_run_line(environment: dict[str, str]) -> subprocess.Popen:
    """Start the `run` line with /bin/sh -c in the root of the repository."""
    return start_process(["/bin/sh", "-c", RUN], subprocess.DEVNULL, environment, folder=ROOT)


@pytest.fixture
def front_and_peer_address(tmp_path):
    """A front started by the `run` line, and the address of its datagram socket."""
    with bound_socket(socket.SOCK_DGRAM) as reserved:
        peer_address = reserved.getsockname()
    peer = address_text(peer_address)
    changes = {"peer_listen": peer, "peers": [peer], "peers_all": peer}
    environment = {"TMPDIR": str(tmp_path)}
    with started_front(tmp_path, changes, lambda given: start_run_line(given | environment)) as front:
        yield front, peer_address


def open_sockets(pid: int) -> dict[str, list[tuple[str, str]]]:
    """Return the sockets of a process by kind, with the local address and state of each."""
    owned = set()
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            owned.add(os.readlink(link).removeprefix("socket:[").removesuffix("]"))
        except FileNotFoundError:
            continue
    found: dict[str, list[tuple[str, str]]] = {}
    for kind in ("tcp", "udp", "tcp6", "udp6", "raw", "packet", "unix"):
        table = Path(f"/proc/{pid}/net/{kind}")
        for row in table.read_text().splitlines()[1:] if table.exists() else ():
            columns = row.split()
            inode = columns[6 if kind == "unix" else 8 if kind == "packet" else INODE]
            if inode in owned:
                found.setdefault(kind, []).append((columns[LOCAL], columns[STATE]))
    return found


def hex_address(address: tuple[str, int]) -> str:
    return f"{int.from_bytes(socket.inet_aton(address[0]), 'little'):08X}:{address[1]:04X}"


def test_run_starts_one_process_without_children_and_with_the_configured_sockets_only(front_and_peer_address):
    (process, listen_address, cache, discovery), peer_address = front_and_peer_address
    discovery.sockets[0].sendall(GROUP_PURGE_LINE % (3, 9) + b"3\n")
    sock = socket.create_connection(listen_address)
    sock.sendall(resp_array(b"STATUS", b"1", b"") + numbered_request(2, 2))
    assert sock.recv(4096) == resp_array(b"1", b"yes", b"", b"")
    cache.wait_for_lines(1)  # the front is busy: an attempt is in flight
    pid = process.pid
    # Because of exec, the shell's process is now the front, which has no child process.
    assert Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")[1:4] == [b"-O", b"-m", b"marbleglade"]
    tasks = list(Path(f"/proc/{pid}/task").iterdir())
    children = [child for task in tasks for child in (task / "children").read_text().split()]
    parents = {
        path.name: path.joinpath("stat").read_text().rsplit(")", 1)[1].split()[1]
        for path in Path("/proc").iterdir()
        if path.name.isdigit() and path.joinpath("stat").exists()
    }
    assert children == [] and str(pid) not in parents.values()
    # The interpreter is linked dynamically, so that preloaded libraries take effect.
    maps = Path(f"/proc/{pid}/maps").read_text()
    assert "/ld-linux" in maps and "libc.so" in maps
    found = open_sockets(pid)
    assert set(found) == {"tcp", "udp"}
    assert [local for local, state in found["tcp"] if state == "0A"] == [hex_address(listen_address)]
    assert [local for local, _ in found["udp"]] == [hex_address(peer_address)]
    # Established connections: to the discovery service, to one upstream, and from the client.
    assert len([state for _, state in found["tcp"] if state == "01"]) == 3
    cache.sockets[0].sendall(with_entity_fields(cache.lines[0].split()[1].encode() + b" HIT - 2\r\nok\r\n"))
    assert sock.recv(4096) == resp_array(b"2", b"ok", b"", b"ok")
    process.terminate()
    wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGUSR1])
def test_a_signal_before_the_program_can_handle_it_ends_no_front(tmp_path, signal_number):
    """A reload signal to all fronts may reach one that has just started: Python takes 20 ms to load."""
    discovery = LineServer()
    (tmp_path / "c.json").write_text(
        json.dumps(
            front_configuration(
                listen=f"127.0.0.1:{free_port()}", coordinator=address_text(discovery.address)
            )
        )
    )
    process = start_run_line({"GW_CONFIG": str(tmp_path / "c.json")})
    try:
        path = Path(f"/proc/{process.pid}/cmdline")
        # Waits until exec has replaced the shell; /proc shows no such argument before and during exec.
        wait_until(lambda: path.read_bytes().split(b"\0")[1:2] == [b"-O"], interval=0)
        process.send_signal(signal_number)
        assert discovery.wait_for_lines(1, START_TIMEOUT_SECONDS) == "follow 2"
        process.terminate()
        wait_until(lambda: process.poll() is not None)
        assert process.returncode == 0
    finally:
        end_process(process)
        discovery.close()
