"""Reads the simulator's batches of messages, calls the policies of the instances, and writes the replies."""

from __future__ import annotations

import json
from functools import partial
from typing import BinaryIO

from ..settings.environment import Environment, read_environment
from ..settings.reader import InvalidSettingError
from ..settings.vocabulary import STATE_BY_SETTING
from .instance import MIN_ENTRY_FIELDS, PolicyCall, SimulatedInstance, do_nothing
from .messages import (
    RESULT_BY_STATUS,
    MalformedMessageError,
    decode_integer,
    decode_report_values,
    decode_time,
)

LIST_FORMS = ("diff", "snapshot", "disk", "error")
ENTRY_STATE = 5  # index of the state in the fields of an ENTRY message
MAX_QUOTED_CHARS = 200  # characters of an invalid line that an error message quotes at most


class SimulatorAdapter:
    """Holds the instances of this process, the endpoint lists that they share, and the batch in progress.

    Attributes:
        clock: A list of one item, the time of the batch, ns.
        instances: Instances by number.
        lists: Endpoint lists by number, each a list of the fields of each entry.
        batch: The number of the batch in progress as sent; None between batches.
        selected_instance: The number of the instance to which messages apply, set by SWITCH_TO.
        current_list: The endpoint list of the last LIST message.
        remaining_entries: The number of ENTRY messages of `current_list` that have not arrived yet.
    """

    def __init__(self) -> None:
        self.clock = [0]
        self.instances: dict[int, SimulatedInstance] = {}
        self.lists: dict[int, list[list[str]]] = {}
        self.batch: str | None = None
        self.selected_instance = -1
        self.current_list: list[list[str]] = []
        self.remaining_entries = 0
        self._handlers = {
            "SWITCH_TO": self._switch,
            "LIST": self._begin_list,
            "INIT": self._init,
            "SHUTDOWN": self._shutdown,
            "ENDPOINTS": self._endpoints,
            "ACCEPT": lambda arguments: self.instance().on_accept(*arguments.split(" ")),
            "ATTEMPT_END": lambda arguments: self.instance().on_attempt_end(*arguments.split(" ")),
            "CLIENT_GONE": lambda arguments: self.instance().on_client_disconnected(arguments),
            "ESTABLISHED": lambda arguments: self.instance().on_established(*arguments.split(" ")),
            "ELAPSED": self._elapsed,
            "EXPIRED_NOW": self._purge,
            "SAMPLED": self._load_report,
            "FROM_PEER": self._peer_message,
        }

    def instance(self) -> SimulatedInstance:
        """Return the selected instance; raise `MalformedMessageError` if it was not started."""
        if self.selected_instance not in self.instances:
            raise MalformedMessageError(f"instance {self.selected_instance} was never started")
        return self.instances[self.selected_instance]

    def reply(self) -> bytes:
        """Return the reply to the batch: the messages that the instances have sent since the last reply."""
        lines = []
        for number, instance in self.instances.items():
            if instance.lines:
                lines += [f"AS {number}", *instance.lines]
                instance.lines.clear()
        lines.append(f"ACK {self.batch}")
        return "".join(f"{line}\n" for line in lines).encode()

    def read(self, line: str) -> PolicyCall | bytes:
        """Decode one line; return the policy call that it requests, or the encoded reply if it ends a batch.

        Raises:
            MalformedMessageError: The message is unknown or not allowed at this point.
            InvalidSettingError: The settings in an INIT message are invalid.
            ValueError, KeyError, TypeError, IndexError: A field of the message is invalid.
        """
        name, _, arguments = line.partition(" ")
        if self.remaining_entries:
            return self._add_entry(name, arguments)
        if name == "ROUND":
            return self._begin_batch(arguments)
        if self.batch is None:
            raise MalformedMessageError("no batch is open: expected ROUND")
        if name == "COMMIT":
            reply = self.reply()
            self.batch = None
            return reply
        if name not in self._handlers:
            raise MalformedMessageError(f"unknown message {name}")
        return self._handlers[name](arguments)

    def _begin_batch(self, arguments: str) -> PolicyCall:
        if self.batch is not None:
            raise MalformedMessageError("a batch is open already: expected COMMIT before the next ROUND")
        clock, self.batch = arguments.split(" ")
        int(self.batch)  # raises ValueError if it is not an integer
        self.clock[0] = decode_time(clock)
        return do_nothing

    def _begin_list(self, arguments: str) -> PolicyCall:
        number, count = arguments.split(" ")
        self.current_list = []
        self.lists[int(number)] = self.current_list
        self.remaining_entries = int(count)
        return do_nothing

    def _add_entry(self, name: str, arguments: str) -> PolicyCall:
        fields = arguments.split(" ")
        valid = name == "ENTRY" and len(fields) >= MIN_ENTRY_FIELDS
        if not valid or fields[ENTRY_STATE] not in STATE_BY_SETTING:
            raise MalformedMessageError("expected an ENTRY with a known state, as the LIST has more entries")
        self.current_list.append(fields)
        self.remaining_entries -= 1
        return do_nothing

    def _switch(self, arguments: str) -> PolicyCall:
        self.selected_instance = int(arguments)
        return do_nothing

    def _init(self, arguments: str) -> PolicyCall:
        seed, _, options = arguments.partition(" ")
        self.instances.pop(self.selected_instance, None)
        return partial(self._start, read_environment(json.loads(options), int(seed)))

    def _start(self, environment: Environment) -> None:
        self.instances[self.selected_instance] = SimulatedInstance(self.clock, environment)

    def _shutdown(self, _arguments: str) -> PolicyCall:
        self.instance()
        del self.instances[self.selected_instance]
        return do_nothing

    def _endpoints(self, arguments: str) -> PolicyCall:
        form, number, _version = arguments.split(" ")
        if form not in LIST_FORMS:
            raise MalformedMessageError(f"unknown list form {form}: expected diff, snapshot, disk or error")
        return self.instance().on_endpoints(form, None if form == "error" else self.lists[int(number)])

    def _elapsed(self, arguments: str) -> PolicyCall:
        int(arguments)  # raises ValueError if it is not an integer
        return self.instance().policy.on_timer

    def _purge(self, arguments: str) -> PolicyCall:
        object_id, group, age = arguments.split(" ")
        policy = self.instance().policy
        purged_at = self.clock[0] - decode_time(age)
        return partial(policy.handle_purge, decode_integer(object_id), decode_integer(group), purged_at)

    def _load_report(self, arguments: str) -> PolicyCall:
        upstream, status, latency, values = arguments.split(" ")
        RESULT_BY_STATUS[int(status)]  # raises KeyError if the status is unknown
        decode_time(latency)
        self.instance().store_report(upstream, decode_report_values(values))
        return do_nothing

    def _peer_message(self, _arguments: str) -> PolicyCall:
        self.instance()
        return do_nothing


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches from `source` and write their replies to `sink`, until `source` ends.

    Raises:
        MalformedMessageError: A line is invalid; the message gives its number and quotes it.
    """
    adapter = SimulatorAdapter()
    for number, raw in enumerate(source, 1):
        line = ""
        try:
            line = raw.decode().rstrip("\n")
            action = adapter.read(line) if line else do_nothing
        except (
            MalformedMessageError,
            InvalidSettingError,
            ValueError,
            KeyError,
            TypeError,
            IndexError,
        ) as error:
            raise MalformedMessageError(f"line {number}: {line[:MAX_QUOTED_CHARS]!r}: {error}") from error
        if isinstance(action, bytes):
            sink.write(action)
            sink.flush()
        else:
            action()
