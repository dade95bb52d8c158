"""Which list of caches is in force at a front, tested with a model of sources that lag differently."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marbleglade.control.front_client.list_sources import DISCOVERY, ListSources
from marbleglade.control.front_client.withdrawals import MAX_WITHDRAWALS
from marbleglade.model.upstream import UpstreamState
from marbleglade.model.watch_event import EndpointListChange
from tests.control.front_client.endpoints import endpoint


class FrontCaches:
    """The list of caches of a front: state and start of each cache, by its id."""

    def __init__(self):
        self.by_id = {}

    def apply(self, change):
        if change.complete:
            self.by_id = {}
        for cache in change.endpoints:
            if cache.state == UpstreamState.REMOVED:
                self.by_id.pop(cache.id, None)
            else:
                self.by_id[cache.id] = (cache.state, cache.started_ms)

    def withdraw(self, change):
        for cache in change.endpoints:
            state, started_ms = self.by_id.get(cache.id, (UpstreamState.REMOVED, 0))
            if state == UpstreamState.ACTIVE and started_ms <= cache.started_ms:
                self.by_id[cache.id] = (UpstreamState.DRAINING, started_ms)


def active_caches(front):
    return {name: known for name, known in front.by_id.items() if known[0] == UpstreamState.ACTIVE}


class ListModel(RuleBasedStateMachine):
    """A history of list changes, sent by several sources that lag differently and are active in turn.

    No cache that a source has withdrawn is active, unless it was started again later. If the active source
    has sent the whole history, the front has the latest list.
    """

    NAMES = ("a", "b", "c")

    def __init__(self):
        super().__init__()
        self.front = FrontCaches()
        self.sources = ListSources(self.front.apply, self.front.withdraw)
        self.history, self.starts = [], dict.fromkeys(self.NAMES, 0)
        self.latest_list = FrontCaches()
        self.sent = {DISCOVERY: 0}  # number of changes of the history that each source has sent
        self.serial = 0
        self.withdrawn = {}  # the latest start of each cache that a source withdrew

    def _send(self, stream, change):
        self.sources.handle_change(stream, change)
        if stream == DISCOVERY != self.sources.active:
            return
        for cache in change.endpoints:
            if cache.state != UpstreamState.ACTIVE:
                self.withdrawn[cache.id] = max(cache.started_ms, self.withdrawn.get(cache.id, 0))

    @rule(
        name=st.sampled_from(NAMES),
        state=st.sampled_from([UpstreamState.ACTIVE, UpstreamState.DRAINING, UpstreamState.REMOVED]),
    )
    def list_changes(self, name, state):
        known = self.latest_list.by_id.get(name)
        if state == UpstreamState.ACTIVE:
            self.starts[name] += 1
        elif known is None or known[0] == state:
            return
        change = EndpointListChange(len(self.history) + 1, False, [endpoint(name, state, self.starts[name])])
        self.history.append(change)
        self.latest_list.apply(change)

    @rule()
    def node_connects(self):
        """A node connects, and sends a snapshot with the present list."""
        self.serial += 1
        stream, at = f"n{self.serial % 3}.{self.serial}", len(self.history)
        for old in [known for known in self.sent if known.startswith(f"n{self.serial % 3}.")]:
            del self.sent[old]
            self.sources.forget(old)
        listed = FrontCaches()
        for change in self.history:
            listed.apply(change)
        self.sources.begin_snapshot(stream)
        endpoints = [endpoint(name, *state) for name, state in listed.by_id.items()]
        self._send(stream, EndpointListChange(at, True, endpoints))
        self.sent[stream] = at

    @rule(data=st.data(), count=st.integers(1, 3))
    def source_sends(self, data, count):
        stream = data.draw(st.sampled_from(sorted(self.sent)))
        for change in self.history[self.sent[stream] : self.sent[stream] + count]:
            self._send(stream, change)
            self.sent[stream] += 1

    @rule(data=st.data())
    def node_becomes_active(self, data):
        listed = [
            stream for stream in sorted(self.sent) if self.sources.has_list(stream) and stream != DISCOVERY
        ]
        if listed:
            self.sources.activate(data.draw(st.sampled_from(listed)))

    @rule()
    def discovery_becomes_active(self):
        """The discovery service is activated only after its replay has reached the last index."""
        for change in self.history[self.sent[DISCOVERY] :]:
            self._send(DISCOVERY, change)
        self.sent[DISCOVERY] = len(self.history)
        self.sources.activate(DISCOVERY)

    @invariant()
    def no_withdrawn_cache_is_active(self):
        for name, (state, started_ms) in self.front.by_id.items():
            assert state != UpstreamState.ACTIVE or started_ms > self.withdrawn.get(name, 0), name

    @invariant()
    def the_front_has_the_latest_list_once_the_active_source_has_sent_all_changes(self):
        source = self.sources.active
        if self.sent.get(source) == len(self.history):
            assert active_caches(self.front) == active_caches(self.latest_list)


TestLists = ListModel.TestCase
TestLists.settings = settings(max_examples=80, stateful_step_count=40, derandomize=True, deadline=None)


def test_live_changes_sent_before_the_complete_list_of_a_snapshot_override_the_list():
    front = FrontCaches()
    sources = ListSources(front.apply, front.withdraw)
    sources.begin_snapshot("s")
    sources.handle_change(
        "s",
        EndpointListChange(
            1, False, [endpoint("a", UpstreamState.REMOVED), endpoint("b", UpstreamState.ACTIVE, 2)]
        ),
    )
    sources.handle_change("s", EndpointListChange(2, True, [endpoint("a"), endpoint("b"), endpoint("c")]))
    sources.activate("s")
    assert front.by_id == {"b": (UpstreamState.ACTIVE, 2), "c": (UpstreamState.ACTIVE, 1)}


def test_a_cache_that_is_listed_as_active_again_with_the_same_start_is_used_again():
    front = FrontCaches()
    sources = ListSources(front.apply, front.withdraw)
    for stream in ("one", "two"):
        sources.handle_change(stream, EndpointListChange(1, True, [endpoint("a")]))
    sources.activate("one")
    for state in (UpstreamState.DRAINING, UpstreamState.ACTIVE):
        sources.handle_change("one", EndpointListChange(2, False, [endpoint("a", state)]))
    # The second source sends the withdrawal after the active source has revoked it.
    sources.handle_change("two", EndpointListChange(2, False, [endpoint("a", UpstreamState.DRAINING)]))
    assert front.by_id == {"a": (UpstreamState.ACTIVE, 1)}


def test_the_number_of_stored_withdrawals_is_bounded():
    sources = ListSources(lambda _change: None, lambda _change: None)
    for number in range(MAX_WITHDRAWALS + 10):
        sources.handle_change(
            "s", EndpointListChange(1, False, [endpoint(str(number), UpstreamState.REMOVED)])
        )
    assert len(sources.withdrawals.by_id) == MAX_WITHDRAWALS
