"""Stand-in cache, parent or origin that serves the cache protocol, with faults that tests set at run time."""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent import socket
from gevent.lock import Semaphore

from ..protocols.cache_protocol import CacheStatus, InvalidLineError, UpstreamRequest
from ..protocols.cache_server_protocol import (
    CancelRequest,
    HealthCheck,
    InvalidUpstreamRequest,
    RequestDecoder,
    ServerEvent,
    encode_response,
)
from .cache_client import CacheClient
from .capacity_model import CapacityModel, WarmUpLimit, WarmUpModel
from .object_cache import ObjectCache
from .object_store import NS_PER_MS, ObjectStore, ObjectVersion, PartKey, etag_of, hashed_fraction
from .sockets import listening_socket
from .upstream_faults import UpstreamFaults

RECORDED_REQUESTS = 1 << 14
DRAIN_GRACE_SECONDS = 0.3  # after a drain is announced, requests may still arrive for this time


class StandInUpstream(UpstreamFaults):
    """One upstream on loopback. An origin has an object store; a cache or parent fills misses from `sources`.

    Args:
        id: Name of the upstream in the endpoint list.
        object_store: Objects that an origin serves; None for a cache or parent.
        clock: Returns the Unix time in ns; defaults to the clock of the object store.
        warm_up: Load limit during slow start; None for no limit.
        effects: Execution count by body of non-idempotent requests; shared by the upstreams of a region.

    Attributes:
        sources: Fill sources by the id that requests name: another stand-in, or the address of a server.
        fill_source: Id of the source used for fills that another stand-in requests; empty for none.
        freshness_ms: Freshness lifetime in ms by request class; absent classes stay fresh until purged.
        capacity_model: Capacity limit; None for unbounded.
        service_seconds: Service time of one request or fill without load, when there is a capacity model.
        request_count: Number of requests received.
        request_times: Arrival times of the latest requests, in monotonic seconds.
        cache: Cached objects.
        connections: Open client connections.
    """

    def __init__(
        self,
        id: str,
        object_store: ObjectStore | None = None,
        clock: Callable[[], int] | None = None,
        warm_up: WarmUpLimit | None = None,
        effects: Counter[bytes] | None = None,
    ) -> None:
        super().__init__()
        if clock is None:
            if object_store is None:
                raise ValueError("an upstream needs a clock or an object store, received neither")
            clock = object_store.clock
        self.id, self.object_store, self.clock = id, object_store, clock
        self.effects: Counter[bytes] = Counter() if effects is None else effects
        self._warm_up = WarmUpModel(warm_up) if warm_up else None
        self.freshness_ms: dict[str, int] = {}
        self.capacity_model: CapacityModel | None = None
        self.service_seconds = 0.0
        self.sources: dict[str, StandInUpstream | tuple[str, int]] = {}
        self.fill_source = ""
        self.request_count = 0
        self.request_times: deque[float] = deque(maxlen=RECORDED_REQUESTS)
        self.cache = ObjectCache(clock)
        self.connections: set[socket.socket] = set()
        self._source_clients: dict[tuple[str, int], CacheClient] = {}
        self._listener = listening_socket()
        self.address: tuple[str, int] = self._listener.getsockname()
        self._accept_loop = gevent.spawn(self._accept)

    def started_ms(self) -> int:
        """Return the current Unix time in ms, for use as the start time right after a restart."""
        return self.clock() // NS_PER_MS

    def restart(self) -> None:
        """Restart at the same address with an empty cache."""
        self.drop_connections()
        self.cache.clear()
        self.crashed, self.draining = False, False
        if self._warm_up:
            self._warm_up.restart()

    def drop_connections(self) -> None:
        """Close all client connections."""
        for sock in list(self.connections):
            sock.close()
        self.connections.clear()

    def close(self) -> None:
        """Close all sockets at once, as when the process is killed."""
        self._accept_loop.kill()
        self._listener.close()
        self.drop_connections()
        for client in self._source_clients.values():
            client.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            if self.resets_connections or self.crashed:
                sock.close()
                continue
            self.connections.add(sock)
            gevent.spawn(self._read, sock)

    def _read(self, sock: socket.socket) -> None:
        decoder, write_lock = RequestDecoder(), Semaphore()
        in_flight: dict[str, gevent.Greenlet] = {}
        with suppress(OSError, InvalidLineError):
            while data := sock.recv(65536):
                for message in decoder.feed(data):
                    self._handle(message, sock, write_lock, in_flight)
        self.connections.discard(sock)
        sock.close()

    def _handle(
        self,
        message: ServerEvent,
        sock: socket.socket,
        write_lock: Semaphore,
        in_flight: dict[str, gevent.Greenlet],
    ) -> None:
        if isinstance(message, CancelRequest):
            if greenlet := in_flight.pop(message.id, None):
                greenlet.kill(block=False)
        elif not self.silent:
            in_flight[message.id] = gevent.spawn(self._answer, sock, write_lock, message, in_flight)

    def _answer(
        self,
        sock: socket.socket,
        write_lock: Semaphore,
        message: ServerEvent,
        in_flight: dict[str, gevent.Greenlet],
    ) -> None:
        try:
            with suppress(OSError):
                data = self._respond(message)
                if data is None or self.silent:
                    return
                with write_lock:
                    sock.sendall(data)
        finally:
            in_flight.pop(message.id, None)

    def _respond(self, message: ServerEvent) -> bytes | None:
        """Return the encoded response, or None if no response is sent."""
        if isinstance(message, HealthCheck):
            fields = {"report": f"inflight:{self.cache.fills_in_flight}"} if message.with_load_report else {}
            return encode_response(message.id, CacheStatus.HEALTHY, fields)
        if not isinstance(message, UpstreamRequest):
            assert isinstance(message, InvalidUpstreamRequest)
            return encode_response(message.id, CacheStatus.FAILED, {})
        self.request_count += 1
        self.request_times.append(time.monotonic())
        if self._warm_up and self._warm_up.record_request():
            self.crashed = True
            gevent.spawn(self.drop_connections)
            return None
        if self.fails_all:
            return encode_response(message.id, CacheStatus.FAILED, {})
        if self.capacity_model:
            self.capacity_model.serve(self.service_seconds)
        if self.draining and time.monotonic() - self.draining_since > DRAIN_GRACE_SECONDS:
            self.requests_while_draining += 1
        if self.rejects_all:
            return encode_response(message.id, CacheStatus.REJECTED, {})
        self._wait_before_response(message)
        if message.class_name in self.non_idempotent_classes:
            return self._execute(message)
        return self._encode_object(message, self.fetch(message))

    def _wait_before_response(self, request: UpstreamRequest) -> None:
        if self.response_delay:
            gevent.sleep(self.response_delay)
        if request.class_name in self.response_gates:
            self.response_gates[request.class_name].wait()
            gevent.sleep(self.gate_spread_seconds * hashed_fraction(0, request.id))

    def _execute(self, request: UpstreamRequest) -> bytes:
        gevent.sleep(self.effect_seconds)
        self.effects[bytes(request.body)] += 1
        fields = {"entity": etag_of(0, 0, 1), "issued": str(self.clock() // NS_PER_MS)}
        return encode_response(request.id, CacheStatus.SERVED, fields, b"done " + request.body)

    def _encode_object(self, request: UpstreamRequest, version: ObjectVersion | None) -> bytes:
        if version is None:
            return encode_response(request.id, CacheStatus.MISSING, {})
        fields = {"entity": version.etag, "issued": str(version.issued_ms)}
        if request.cached_etag == version.etag:
            return encode_response(request.id, CacheStatus.NOT_MODIFIED, fields)
        body = version.body[:-1] + b"?" if self.corrupts_bodies else version.body
        return encode_response(request.id, CacheStatus.SERVED, fields, body)

    def fetch(self, request: UpstreamRequest) -> ObjectVersion | None:
        """Return the object if it is cached and fresh or the requested source can fill it, else None."""
        key = PartKey(int(request.object_id, 16), request.part)
        if self.object_store:
            return self.object_store.read(key)
        max_age_ms = request.max_age_ms or self.freshness_ms.get(request.class_name, 0)
        version = self.cache.get(key, max_age_ms)
        if version or request.only_if_cached or request.fill_source not in self.sources:
            return version
        if request.join_fill and (joined := self.cache.join_fill(key, max_age_ms)):
            return joined
        source = self.sources[request.fill_source]
        return self.cache.fill(key, lambda: self._fill(request, source))

    def _fill(
        self, request: UpstreamRequest, source: StandInUpstream | tuple[str, int]
    ) -> ObjectVersion | None:
        if isinstance(source, StandInUpstream):
            return source._serve_fill(request)
        client = self._source_clients.get(source)
        if client is None or client.closed:
            client = self._source_clients[source] = CacheClient(source)
        response = client.request(
            request.class_name, request.object_id, request.part, request.timeout_ms, request.max_age_ms
        )
        if response is None or response.status is not CacheStatus.SERVED:
            return None
        return ObjectVersion(response.entity_tag, response.issued_ms, response.body)

    def _serve_fill(self, request: UpstreamRequest) -> ObjectVersion | None:
        """Serve a fill for another stand-in by a direct call, without a connection."""
        if self.silent:
            gevent.sleep(request.timeout_ms / 1000)
            return None
        if self.response_delay:
            gevent.sleep(self.response_delay)
        self.request_count += 1
        if self.capacity_model:
            self.capacity_model.serve(self.service_seconds)
        if self._warm_up and self._warm_up.record_request():
            self.crashed = True
            self.drop_connections()
        own_request = UpstreamRequest(
            request.id,
            request.class_name,
            request.object_id,
            request.part,
            request.timeout_ms,
            self.fill_source,
            max_age_ms=request.max_age_ms,
            join_fill=True,
            only_if_cached=not (self.object_store or self.fill_source),
        )
        return self.fetch(own_request)
