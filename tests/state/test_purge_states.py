"""Purges of directory, local cache and open requests remove the same items as a linear scan."""

from collections import OrderedDict

from hypothesis import strategies
from hypothesis.stateful import invariant, rule

from marbleglade.model.request import CachedResponse, Request
from marbleglade.model.upstream import Upstream
from marbleglade.state.directory import Directory
from marbleglade.state.local_cache import PURGE_TOLERANCE, CachedObject, LocalCache
from marbleglade.state.open_requests import OpenRequests
from tests.state.purge_machine import (
    AGES,
    GROUPS,
    MACHINE_SETTINGS,
    OBJECTS,
    PARTS,
    MachineWithClock,
    matches_purge,
)


class DirectoryMachine(MachineWithClock):
    """Compares the directory with a linear scan; a purge does not change the order of the entries."""

    MAX_ENTRIES = 4

    def __init__(self):
        super().__init__()
        self.directory, self.model = Directory(self.MAX_ENTRIES), OrderedDict()
        self.caches = [Upstream(b"c%d" % n) for n in range(3)]

    @rule(object_id=OBJECTS, part=PARTS, group=GROUPS, cache=strategies.integers(0, 2))
    def add(self, object_id, part, group, cache):
        _, entries = self.model.pop((object_id, part), (0, {}))
        self.model[object_id, part] = group, entries | {self.caches[cache]: self.now}
        if len(self.model) > self.MAX_ENTRIES:
            self.model.popitem(last=False)
        self.directory.add(object_id, part, group, self.caches[cache], self.now)

    @rule(object_id=OBJECTS, part=PARTS, cache=strategies.integers(0, 2))
    def discard(self, object_id, part, cache):
        self.model.get((object_id, part), (0, {}))[1].pop(self.caches[cache], None)
        self.directory.discard(object_id, part, self.caches[cache])

    @rule(purged_object=OBJECTS, purged_group=GROUPS)
    def purge(self, purged_object, purged_group):
        for (object_id, _), (group, entries) in self.model.items():
            if object_id == purged_object or (not purged_object and group == purged_group):
                entries.clear()
        self.directory.purge(purged_object, purged_group)

    @invariant()
    def entries_are_those_of_the_model(self):
        entries = [(key, list(caches.items())) for key, caches in self.directory._entries.items()]
        assert entries == [(key, list(caches.items())) for key, (_, caches) in self.model.items()]
        assert len(self.directory._index) <= len(self.model) <= self.MAX_ENTRIES


class LocalCacheMachine(MachineWithClock):
    """Compares the cached objects and their order of use with a linear scan over all objects."""

    SIZE = 12

    def __init__(self):
        super().__init__()
        self.cache, self.model = LocalCache(self.SIZE), OrderedDict()

    @rule(
        object_id=OBJECTS,
        part=PARTS,
        group=GROUPS,
        age=AGES,
        size=strategies.integers(0, 14),
        purge_age=AGES,
    )
    def put(self, object_id, part, group, age, size, purge_age):
        entry, purged_at = CachedObject(b"x" * size, "", self.now - age, group), self.now - purge_age
        present = self.model.get((object_id, part))
        is_outdated = present and present.issued_at >= entry.issued_at
        is_purged = entry.issued_at <= purged_at + PURGE_TOLERANCE
        if not (is_outdated or is_purged or size > self.SIZE):
            self.model.pop((object_id, part), None)
            self.model[object_id, part] = entry
            while sum(len(cached.body) for cached in self.model.values()) > self.SIZE:
                self.model.popitem(last=False)
        self.cache.put(object_id, part, entry, purged_at)

    @rule(object_id=OBJECTS, part=PARTS)
    def get(self, object_id, part):
        entry = self.cache.get(object_id, part)
        assert entry is self.model.get((object_id, part))
        if entry:
            self.model.move_to_end((object_id, part))

    @rule(purged_object=OBJECTS, purged_group=GROUPS, age=AGES)
    def purge(self, purged_object, purged_group, age):
        purged_at = self.now - age
        for key, entry in list(self.model.items()):
            is_older = entry.issued_at <= purged_at + PURGE_TOLERANCE
            if is_older and matches_purge(purged_object, purged_group, key[0], entry.group):
                del self.model[key]
        self.cache.purge(purged_object, purged_group, purged_at)

    @rule(age=AGES)
    def drop_issued_before(self, age):
        for key, entry in list(self.model.items()):
            if entry.issued_at <= self.now - age + PURGE_TOLERANCE:
                del self.model[key]
        self.cache.drop_issued_before(self.now - age)

    @invariant()
    def objects_are_those_of_the_model(self):
        assert list(self.cache.objects.items()) == list(self.model.items())
        assert self.cache.used_bytes == sum(len(entry.body) for entry in self.model.values())
        assert len(self.cache._index) == len(self.model)


class OpenRequestsMachine(MachineWithClock):
    """Compares the detached cached responses with a linear scan over all open requests.

    Attributes:
        cached: The expected cached response of each open request.
    """

    def __init__(self):
        super().__init__()
        self.open_requests, self.requests, self.cached = OpenRequests(0), [], {}

    def request_at(self, number):
        return self.requests[number % len(self.requests)] if self.requests else None

    @rule(object_id=OBJECTS, group=GROUPS, age=AGES, has_cached=strategies.booleans())
    def add(self, object_id, group, age, has_cached):
        cached = CachedResponse(1, self.now - age) if has_cached else None
        request = Request(None, object_id, 0, group, 0.0, self.now, self.now, cached=cached)
        self.requests.append(request)
        self.open_requests.add(request)
        self.cached[request] = cached

    @rule(number=strategies.integers(0, 20))
    def decide(self, number):
        if request := self.request_at(number):
            self.open_requests.by_request[request].decided = True

    @rule(number=strategies.integers(0, 20))
    def remove(self, number):
        if request := self.request_at(number):
            self.requests.remove(request)
            self.open_requests.remove(request)

    @rule(purged_object=OBJECTS, purged_group=GROUPS, age=AGES)
    def purge(self, purged_object, purged_group, age):
        purged_at = self.now - age
        for request in self.requests:
            cached, decided = self.cached[request], self.open_requests.by_request[request].decided
            is_older = cached and cached.issued_at <= purged_at + PURGE_TOLERANCE
            matches = matches_purge(purged_object, purged_group, request.object_id, request.group)
            if is_older and not decided and matches:
                self.cached[request] = None
        self.open_requests.purge(purged_object, purged_group, purged_at)

    @invariant()
    def cached_responses_are_those_of_the_model(self):
        assert all(request.cached is self.cached[request] for request in self.requests)
        assert len(self.open_requests._requests_with_cached) <= len(self.open_requests) == len(self.requests)


TestDirectoryMachine = DirectoryMachine.TestCase
TestDirectoryMachine.settings = MACHINE_SETTINGS
TestLocalCacheMachine = LocalCacheMachine.TestCase
TestLocalCacheMachine.settings = MACHINE_SETTINGS
TestOpenRequestsMachine = OpenRequestsMachine.TestCase
TestOpenRequestsMachine.settings = MACHINE_SETTINGS
