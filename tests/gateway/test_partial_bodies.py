"""Partial bodies: bounded in bytes, replaced by longer ones or other versions, removed when they expire."""

from marbleglade.gateway.partial_bodies import PartialBodies, PartialBody


def bodies_after_eviction():
    bodies = PartialBodies(1000)
    for number in range(5):
        bodies.put(number, PartialBody("t", 1, bytes(300), 100 + number))
    return bodies


def test_the_oldest_bodies_are_removed_over_the_byte_limit():
    bodies = bodies_after_eviction()
    assert list(bodies.bodies) == [2, 3, 4] and bodies.stored_bytes == 900


def test_a_body_replaces_another_version_but_no_longer_body_of_the_same():
    bodies = bodies_after_eviction()
    bodies.put(4, PartialBody("t", 1, bytes(200), 100))
    assert len(bodies.get(4).data) == 300
    bodies.put(4, PartialBody("u", 1, bytes(200), 100))
    assert bodies.get(4).tag == "u"


def test_expired_bodies_are_removed():
    bodies = bodies_after_eviction()
    bodies.put(4, PartialBody("u", 1, bytes(200), 100))
    bodies.expire(103)
    assert list(bodies.bodies) == [3] and bodies.stored_bytes == 300
