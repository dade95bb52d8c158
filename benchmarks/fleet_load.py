"""Client load on every front of a fleet, and the rules that every fleet is checked for."""

from __future__ import annotations

from collections import Counter
from functools import partial

import gevent

from marbleglade.testing.client import Client
from marbleglade.testing.front_fleet import FrontFleet
from marbleglade.testing.front_settings import ZONE
from marbleglade.testing.object_store import VIDEO_BITS, hashed_fraction

from .processes import now
from .request_results import RequestResults
from .request_stream import ClientPool, RequestStream

OBJECTS = 300
OBJECT_SKEW = 3  # exponent of the popularity; a larger one concentrates requests on fewer objects
VIDEO_EVERY = 4  # one object in four is a video
DOWN_MARGIN_S, UP_MARGIN_S, FOREVER_S = 0.1, 0.2, 3600
SETTLE_S = 0.5  # time for the last requests of a measured period to be answered
EFFECT_TIMEOUT_MS = 2000


class FleetLoad:
    """One stream of requests to each front.

    Args:
        fleet: The fronts.
        seed: Seed of requests and objects.
        rates: Requests per second for each front.
        objects: Number of different objects.
    """

    def __init__(self, fleet: FrontFleet, seed: int, rates: list[float], objects: int = OBJECTS) -> None:
        self.results = RequestResults()
        self._seed, self._objects = seed, objects
        self._outages: dict[int, list[tuple[float, float]]] = {number: [] for number in range(fleet.count)}
        self.streams = [self._new_stream(fleet, number, rate) for number, rate in enumerate(rates)]
        self._loops = [gevent.spawn(stream.run) for stream in self.streams]

    def _new_stream(self, fleet: FrontFleet, number: int, rate: float) -> RequestStream:
        seed, address = self._seed, fleet.client_addresses[number]
        pool = ClientPool(f"f{number}", ZONE, address, seed % 997 + number, partial(self.was_up, number))
        return RequestStream(
            pool, self.results, seed * 100 + number, rate, lambda n: (self.object_for(n * 97 + number), True)
        )

    def object_for(self, number: int) -> int:
        """Return the object of the request with this number."""
        rank = int(hashed_fraction(self._seed, "thing", number) ** OBJECT_SKEW * self._objects)
        low_bits = VIDEO_BITS if rank % VIDEO_EVERY == 0 else 0
        return int(hashed_fraction(self._seed, "object", rank) * 2**56) << 2 | low_bits

    def was_up(self, front: int, start: float, end: float) -> bool:
        """Return whether a front was up from `start` to `end` (monotonic seconds)."""
        return all(end < begin or start > over for begin, over in self._outages[front])

    def mark_down(self, *fronts: int) -> None:
        """Record that these fronts are down: failed requests to them are excused from now on."""
        for front in fronts:
            self._outages[front].append((now() - DOWN_MARGIN_S, now() + FOREVER_S))

    def mark_up(self, front: int) -> None:
        """Record that a front is up again: failed requests to it are no longer excused."""
        self._outages[front][-1] = self._outages[front][-1][0], now() + UP_MARGIN_S

    def disconnect(self, front: int) -> None:
        """Stop the load on a front that is about to be stopped, and wait for its requests in flight."""
        gevent.kill(self._loops[front])
        self.streams[front].finish()
        self.mark_down(front)

    def set_rate_factor(self, factor: float) -> None:
        """Send requests at the original rates times `factor`."""
        for stream in self.streams:
            stream.rate_factor = factor

    def served_share(self, seconds: float) -> float:
        """Wait for `seconds`; return the served share of the requests that were sent in that time."""
        start = now()
        gevent.sleep(seconds)
        end = now()
        gevent.sleep(SETTLE_S)
        return self.results.served_share(start, end)

    def finish(self) -> int:
        """Stop the load on all fronts; return the number of duplicate and malformed responses."""
        # Kills the loops first: a loop that is still waiting would send one more request after `finish`.
        gevent.killall(self._loops)
        for stream in self.streams:
            stream.finish()
        errors = sum(stream.pool.protocol_errors() for stream in self.streams)
        for stream in self.streams:
            stream.pool.close()
        self.results.duplicates += errors
        return errors


def broken_rules(
    fleet: FrontFleet, results: RequestResults, duplicates: int, faults: list[str]
) -> Counter[str]:
    """Count the violations at the end of a run, by their keys in the results of the benchmarks."""
    return Counter(
        lost=results.lost,
        doubled=duplicates,
        double_effects=sum(count - 1 for count in fleet.effects.values() if count > 1),
        cold_fallen=sum(upstream.crashed for upstream in (*fleet.caches, *fleet.parents)),
        stale=results.stale + results.corrupted,
        wrong=len(faults),
    )


def send_order(fleet: FrontFleet, number: int, object_id: int) -> None:
    """Send an order, which must not take effect twice, to the front that follows from its number."""
    try:
        client = Client(fleet.client_addresses[number % fleet.count], 900 + number)
    except OSError:
        return
    client.request("orders", object_id, timeout_ms=EFFECT_TIMEOUT_MS, body=b"%d" % number)
    client.close()
