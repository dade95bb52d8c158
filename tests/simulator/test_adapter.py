"""The simulator's protocol: batches of messages and the replies of the adapter."""

import io
import json

import pytest

from marbleglade.model.policy_action import PolicyAction, PolicyActionKind
from marbleglade.model.upstream import Upstream, UpstreamRole
from marbleglade.settings.environment import read_environment
from marbleglade.simulator.adapter import serve
from marbleglade.simulator.instance import SimulatedInstance
from marbleglade.simulator.messages import MalformedMessageError
from tests.harness.settings import FRONT_SETTINGS

ENTRIES = "LIST 0 3\nENTRY a:1 0 - 1 1 active 0\nENTRY p:1 1 - 1 0 active 0\nENTRY o:1 2 - 1 0 active 0\n"
START = f"INIT 5 {json.dumps(FRONT_SETTINGS)}\n{ENTRIES}ENDPOINTS disk 0 1\n"


def replies_to(*batches):
    """Return the lines that the adapter replies to these batches of messages."""
    lines = "".join(
        f"ROUND {number * 10}.5 {number}\n{batch}COMMIT\n" for number, batch in enumerate(batches, 1)
    )
    sink = io.BytesIO()
    serve(io.BytesIO(lines.encode()), sink)
    return sink.getvalue().decode().split("\n")[:-1]


def accept(request_id, time_left="2400.0"):
    """Return the ACCEPT message of a new request."""
    return f"ACCEPT {request_id} 0 - 77 {time_left} - 3 - 0\n"


FIRST_ATTEMPT = "ANSWER_FROM t/a a:1 2400.000 p:1 1 0 0"


@pytest.mark.parametrize(
    "batches, replies",
    [
        (["", ""], ["ACK 1", "ACK 2"]),
        (["SWITCH_TO 3\n" + START + accept("t/a")], ["AS 3", "ARM 18.750 1", FIRST_ATTEMPT, "ACK 1"]),
        # an instance restarts under the same number within a batch: messages of the old instance are dropped
        (
            ["SWITCH_TO 3\n" + START + accept("t/b") + "SHUTDOWN\n" + START + accept("t/a")],
            ["AS 3", "ARM 18.750 1", FIRST_ATTEMPT, "ACK 1"],
        ),
        # a list number is reused within a batch: each event refers to the list received last before it
        (
            [
                "SWITCH_TO 3\n"
                + START
                + ENTRIES.replace("a:1", "b:1")
                + "ENDPOINTS snapshot 0 2\n"
                + accept("t/a")
            ],
            ["AS 3", "ARM 18.750 1", FIRST_ATTEMPT.replace("a:1", "b:1"), "ACK 1"],
        ),
        # late messages about a finished request or a removed cache are ignored
        (
            [
                "SWITCH_TO 3\n" + START,
                "SWITCH_TO 3\nCLIENT_GONE t/x\nATTEMPT_END t/x 0 5.0 1 - - 200 a:1 -\n"
                "SAMPLED z:1 200 1.0 x0:0.5\nFROM_PEER 1 68\nESTABLISHED t/x 0 a:1 2.0\n",
            ],
            ["AS 3", "ARM 18.750 1", "ACK 1", "ACK 2"],
        ),
        (
            [
                "SWITCH_TO 3\n" + START + accept("t/a"),
                "SWITCH_TO 3\nATTEMPT_END t/a 0 9.0 0 - - 504 a:1 -\n",
                "SWITCH_TO 3\nATTEMPT_END t/a 0 9.0 1 1 - 200 a:1 -\n",
            ],
            [
                "AS 3",
                "ARM 18.750 1",
                FIRST_ATTEMPT,
                "ACK 1",
                "AS 3",
                "ANSWER_FROM t/a a:1 2390.000 p:1 1 0 0",
                "ACK 2",
                "ACK 3",
            ],
        ),
    ],
)
def test_the_adapter_replies_to_each_batch(batches, replies):
    assert replies_to(*batches) == replies


def test_load_probes_are_sent_and_their_reports_accepted():
    probing = json.loads(json.dumps(FRONT_SETTINGS))
    probing["Limits"]["Probing"] = True
    probing["Report"] = {"Names": ["x1"], "Via": "probe"}
    start = START.replace(json.dumps(FRONT_SETTINGS), json.dumps(probing))
    assert "HEALTH_CHECK a:1" in replies_to(
        "SWITCH_TO 3\n" + start,
        "SWITCH_TO 3\nELAPSED 1\n",
        "SWITCH_TO 3\nSAMPLED a:1 200 1.0 x1:0.5\nSAMPLED a:1 504 9.0 -\n",
    )


@pytest.mark.parametrize(
    "batch, expected",
    [
        ("SWITCH_TO 4\nELAPSED 1\n", "never started"),
        ("SWITCH_TO 4\nHELLO\n", "unknown message HELLO"),
        ("SWITCH_TO x\n", "line 2"),
        ("SWITCH_TO 3\n" + START + "ACCEPT t/a 0\n", "ACCEPT"),
        ("SWITCH_TO 3\n" + START + "ATTEMPT_END t/a 0 x 0 - - 200 a:1 -\n", "ATTEMPT_END"),
        ("SWITCH_TO 3\nLIST 0 2\nENTRY a:1 0 - 1 1 asleep 0\n", "ENTRY"),
        ("SWITCH_TO 3\nINIT 5 {}\n", "Limits"),
        ("SWITCH_TO 3\n" + START.replace('"Zone": 1', '"Zones": 1'), "Zone"),
        ("SWITCH_TO 3\nENDPOINTS odd 0 1\n", "unknown list form"),
        ("ROUND 5.0 9\n", "open already"),
    ],
)
def test_the_error_for_a_malformed_line_gives_its_number_and_cause(batch, expected):
    with pytest.raises(MalformedMessageError, match=r"line [0-9]+: ") as raised:
        replies_to(batch)
    assert expected in str(raised.value)


def test_an_ejection_is_recorded_with_the_name_that_the_simulator_uses():
    instance = SimulatedInstance([0], read_environment(FRONT_SETTINGS, 5))
    instance.lines.clear()
    instance.record_action(PolicyAction(PolicyActionKind.EJECTED, Upstream(b"p:1", UpstreamRole.PARENT)))
    assert instance.lines == ["RECORD shut parent p:1"]


def test_instances_are_independent():
    """An instance sends the same messages beside a busy instance as it does alone."""
    alone = replies_to("SWITCH_TO 3\n" + START + accept("t/a"))
    busy = replies_to(
        "SWITCH_TO 5\n"
        + START
        + "".join(accept(f"t/{n}") for n in range(2000))
        + "SWITCH_TO 3\n"
        + START
        + accept("t/a")
    )
    assert busy[busy.index("AS 3") :] == alone
