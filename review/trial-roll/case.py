"""Six of seven fronts are restarted in turn while a cache is out for maintenance; the leader then takes out another one."""

import json
import signal
import sys
import time
from pathlib import Path

import gevent

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import shared2  # noqa: E402
from marbleglade.testing.discovery_service import DiscoveryService  # noqa: E402
from marbleglade.testing.front_settings import CACHE_KIND, ORIGIN_KIND, front_configuration, front_settings  # noqa: E402
from marbleglade.testing.object_store import ObjectStore, RegionClock  # noqa: E402
from marbleglade.testing.sockets import address_text, free_port  # noqa: E402

COUNT = 7
ORDER, LEADER = (0, 1, 2, 3, 5, 4), 4  # the leader last; front 6 is not restarted
SPACING_S = 1.35  # all within 8 s
BEAT_MS = 6000
WARM_MS = 500
PLAN = """asked_ms: %d
floor: 0.25
limit { most: 1 kind: CACHE }
job { place: "%s" kind: CACHE zone: "z" }
"""


def case(run: shared2.Run) -> None:
    clock = RegionClock()
    origin = shared2.StandInUpstream("root", ObjectStore("store", clock, lambda _: True))
    boxes = [shared2.StandInUpstream(f"box{number}", clock=clock) for number in range(4)]
    for box in boxes:
        box.sources = {"root": origin}
    service = DiscoveryService("z")
    service.announce([*((box, CACHE_KIND) for box in boxes), (origin, ORIGIN_KIND)], full_list=True)
    (run.path / "fleet.textproto").write_text(f"beat_ms: {BEAT_MS}\n")
    ports = [free_port() for _ in range(COUNT)]
    peers = [("127.0.0.1", free_port()) for _ in range(COUNT)]
    environments = []
    for number in range(COUNT):
        configuration = front_configuration(
            f"f{number}", ("127.0.0.1", ports[number]), service.address, front_settings(COUNT, {"Cold": WARM_MS}), f"{number + 1:x}",
            service.event_lines,
        )
        configuration["peer_listen"] = address_text(peers[number])
        configuration["peers"] = [address_text(peer) for peer in peers]
        path = run.path / f"f{number}.json"
        path.write_text(json.dumps(configuration))
        environments.append({
            "GW_CONFIG": str(path),
            "MARBLEGLADE_FLEET": str(run.path / "fleet.textproto"),
            "MARBLEGLADE_WORK": str(run.path / f"work{number}.textproto"),
        })

    def events(number: int) -> list[dict]:
        lines = run.logs[f"f{number}"].read_text().splitlines()
        found = map(json.loads, filter(lambda line: line.startswith("{"), lines))
        return [one for one in found if one["event"] in ("maintenance", "table_inquiry", "out_of_service")]

    def write_plan(number: int, name: str) -> None:
        (run.path / f"work{number}.textproto").write_text(PLAN % (time.time() * 1000, name))
        run.note(f"plan at f{number}: {name}, one cache at a time")

    def avoids(number: int, name: str) -> bool:
        return any(name in event.get("upstreams", ()) for event in events(number))

    def requests_at(number: int) -> list[int]:
        before = [box.request_count for box in boxes]
        client = shared2.connect(run, ("127.0.0.1", ports[number]), number)
        for one in range(40):
            client.request("menu-pages", (number + 1) << 48 | one << 32 | 4, 0, 0, 1000)
        client.close()
        return [box.request_count - count for box, count in zip(boxes, before, strict=True)]

    try:
        for number in range(COUNT):
            run.start(f"f{number}", environment=environments[number])
        for number in range(COUNT):
            run.wait_for("ready", lambda number=number: run.log_has(f"f{number}", '"ready"'))
        write_plan(LEADER, "box0")
        run.signal(f"f{LEADER}", signal.SIGHUP)
        run.wait_for("box0 to be out", lambda: all(avoids(number, "box0") for number in range(COUNT)), 55)
        run.note("box0 is out of service at all fronts; the operators work on it, its process still runs")
        write_plan(LEADER, "box1")
        run.signal(f"f{LEADER}", signal.SIGHUP)
        begun = time.monotonic()
        for place, number in enumerate(ORDER if shared2.TROUBLE else ()):
            gevent.sleep(max(0.0, begun + place * SPACING_S - time.monotonic()))
            run.signal(f"f{number}", signal.SIGTERM)
            run.processes[f"f{number}"].wait()
            run.start(f"f{number}", environment=environments[number])
            run.wait_for("ready", lambda number=number: run.log_has(f"f{number}", '"ready"', 2))
        run.note(f"{len(ORDER)} of {COUNT} fronts were restarted in {time.monotonic() - begun:.1f} s" if shared2.TROUBLE else "")
        to_box0 = requests_at(LEADER)[0]
        run.note(f"of 40 requests to f{LEADER} box0 gets {to_box0}")
        while time.monotonic() < begun + 56 and not all(avoids(number, "box1") for number in range(COUNT)):
            gevent.sleep(0.1)
        for number in range(COUNT):
            for event in events(number):
                run.note(f"f{number} {json.dumps(event)[:300]}")
            run.note(f"of 40 requests to f{number} each box gets {requests_at(number)}")
        if to_box0:
            run.breach(f"f{LEADER} sends to box0, which is out of service")
        if any(avoids(number, "box1") for number in range(COUNT)):
            run.breach("box0 and box1 are out of service at once, one is allowed")
    finally:
        service.close()


shared2.main(FOLDER, case)
