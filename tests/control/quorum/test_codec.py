"""The JSON lines of quorum messages: their exact bytes, and the rejection of all other lines."""

from dataclasses import fields

import pytest

from marbleglade.control.quorum import codec, messages
from marbleglade.control.quorum.state import Ballot, DurableState, FoundingMember, Value, Vote

LARGE_STATE = DurableState(
    "aa",
    True,
    (FoundingMember("c1", "aa"),),
    Ballot(3, 1),
    Vote(Ballot(2, 0), Value(5, "p5", "text\n" * 9000)),
    Value(4, "p4", "four \u00fc"),
)
BALLOT = Ballot(3, 1)
VALUE = Value(4, "p4", "four \u00fc")
VOTE = Vote(Ballot(2, 0), VALUE)
STATE = DurableState("aa", True, (FoundingMember("c1", "aa"),), BALLOT, VOTE, VALUE)

# Output of the encoder at commit e58eef3, before types and attributes were renamed. It fixes the wire format.
RECORDED_LINES = [
    (messages.StateRequest("s"), '["Inquiry",{"store":"s"}]'),
    (
        messages.StateReply("s", STATE),
        '["Standing",{"asked_by":"s","state":{"store":"aa","voter":true,"founders":[{"node":"c1",'
        '"store":"aa"}],"promised":{"term":3,"node":1},"accepted":{"ballot":{"term":2,"node":0},"value":'
        '{"version":4,"proposal":"p4","text":"four \u00fc"}},"chosen":{"version":4,"proposal":"p4",'
        '"text":"four \u00fc"}}}]',
    ),
    (messages.Prepare(BALLOT), '["Prepare",{"ballot":{"term":3,"node":1}}]'),
    (
        messages.Promise(BALLOT, VOTE),
        '["Promise",{"ballot":{"term":3,"node":1},"accepted":{"ballot":{"term":2,"node":0},"value":'
        '{"version":4,"proposal":"p4","text":"four \u00fc"}}}]',
    ),
    (
        messages.Reject(BALLOT, Ballot(4, 2)),
        '["Reject",{"ballot":{"term":3,"node":1},"promised":{"term":4,"node":2}}]',
    ),
    (
        messages.Accept(BALLOT, VALUE),
        '["Accept",{"ballot":{"term":3,"node":1},"value":{"version":4,"proposal":"p4",'
        '"text":"four \u00fc"}}]',
    ),
    (messages.Accepted(BALLOT, 4), '["Accepted",{"ballot":{"term":3,"node":1},"version":4}]'),
    (messages.Heartbeat(BALLOT), '["Heartbeat",{"ballot":{"term":3,"node":1}}]'),
    (
        messages.HeartbeatReply(BALLOT, 4),
        '["HeartbeatReply",{"ballot":{"term":3,"node":1},"chosen_version":4}]',
    ),
    (messages.Chosen(VALUE), '["Chosen",{"value":{"version":4,"proposal":"p4","text":"four \u00fc"}}]'),
    (messages.ReplicaHello("shop", "c1"), '["ReplicaHello",{"deployment":"shop","node":"c1"}]'),
    (messages.ProposalRequest("p4", "four"), '["ProposalRequest",{"proposal":"p4","text":"four"}]'),
    (messages.ProposalAccepted(4), '["ProposalAccepted",{"version":4}]'),
    (messages.ProposalConflict(5), '["ProposalConflict",{"version":5}]'),
    (messages.ProposalRejected("c1", "no"), '["ProposalNotTaken",{"leader":"c1","reason":"no"}]'),
    (messages.ProposalOutcomeUnknown(), '["ProposalUnknown",{}]'),
    (messages.ProposalInvalid(("one", "two")), '["ProposalRefused",{"faults":["one","two"]}]'),
]


@pytest.mark.parametrize(
    ("message", "line"), RECORDED_LINES, ids=[type(message).__name__ for message, _ in RECORDED_LINES]
)
def test_messages_are_encoded_to_the_recorded_lines_and_decoded_from_them(message, line):
    data = line.encode() + b"\n"
    assert codec.encode(message) == data
    assert codec.decode(data) == message


def test_every_message_type_has_a_recorded_line_and_every_field_a_key():
    assert [type(message) for message, _ in RECORDED_LINES] == list(codec.MESSAGE_NAMES)
    for kind, keys in codec.FIELD_KEYS.items():
        assert [field.name for field in fields(kind)] == list(keys)


@pytest.mark.parametrize(
    "message",
    [
        messages.StateReply("s", LARGE_STATE),
        messages.Promise(Ballot(1, 2), Vote()),
        messages.Accept(Ballot(1, 0), Value(1, "p", "t")),
        messages.ProposalInvalid(("one", "two")),
        messages.ProposalOutcomeUnknown(),
    ],
)
def test_decoding_an_encoded_message_returns_an_equal_message(message):
    line = codec.encode(message)
    assert line.count(b"\n") == 1 and codec.decode(line) == message


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{}",
        b"[]",
        b'["Prepare"]',
        b'["Prepare",{}]',
        b'["Prepare",{"ballot":{"term":1}}]',
        b'["Prepare",{"ballot":{"term":"1","node":0}}]',
        b'["Prepare",{"ballot":{"term":true,"node":0}}]',
        b'["Prepare",{"ballot":{"term":-7,"node":0}}]',
        b'["Prepare",{"ballot":{"term":9223372036854775807,"node":0}}]',
        b'["Prepare",{"ballot":{"term":1,"node":0},"more":1}]',
        b'["Persist",{"state":1}]',
        b'[["Prepare"],{}]',
        b'["ProposalRefused",{"faults":"text"}]',
        b"[" * 100_000,
        b"\xff",
    ],
)
def test_a_line_that_is_not_a_valid_message_is_rejected(line):
    with pytest.raises(codec.InvalidMessageError):
        codec.decode(line)
