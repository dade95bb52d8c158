"""Crossings over loopback: something ends at the very instant at which something is still owed on it.

`docs/crossings.md` has a line for each. The order of events is forced by stand-ins that hold and release
bytes, and by calls into the doors, never by waiting for luck.
"""

import pytest

from .conftest import full, words
from .test_connections import ask, serve, world  # noqa: F401  (the fixture)

TRACE = b"9b1f03aa5c7e2d41"


# Settings of other customers.


@pytest.mark.parametrize("kept, said, answer", [
    (False, b"HIT - 2\r\nok\r\n", (b"7", b"ok", b"", b"ok")),
    (False, b"HIT remark=MISS_ORIGIN,report=x1:2 0\r\n\r\n", (b"7", b"ok", b"", b"")),
    (False, b"HIT entity=4be0c1927d55a6f3,issued=5 1\r\nx\r\n", (b"7", b"ok", b"", b"x")),
    (False, b"HIT issued=5 1\r\nx\r\n", (b"7", b"full", b"pause=40", b"")),
    (True, b"HIT - 2\r\nok\r\n", (b"7", b"full", b"pause=40", b""))])
def test_what_no_cache_keeps_is_answered_without_a_copys_tag(world, kept, said, answer):  # noqa: F811
    world.facade.decisions.ground.profiles[0].never_kept = not kept
    sock = world.client()
    sock.sendall(ask(world, 7))
    world.server.heard(1)
    world.server.socks[0].sendall(TRACE + b" " + said)
    assert sock.recv(4096) == words(*answer) and not world.copies.kept


def test_what_has_to_run_is_never_answered_with_the_fronts_own_copy(world):  # noqa: F811
    script = world.facade.decisions
    launch = script.take
    script.take = lambda one: world.facade.settle(one) if one.held else launch(one)
    sock = serve(world, TRACE + b" HIT entity=4be0c1927d55a6f3,issued=5 4\r\nbody\r\n")
    sock.recv(4096)
    script.ground.profiles[0].never_kept = True
    sock.sendall(ask(world, 8, "0000000000000008"))
    assert world.server.heard(2).startswith("do 0000000000000008")


def test_the_mark_of_a_receipted_retrieval_goes_on_to_the_cache(world):  # noqa: F811
    sock = serve(world, TRACE + b" HIT - 2\r\nok\r\n", more=",nonce=a31c3d6cffc90fc47fc97a47e35d8a29")
    assert sock.recv(4096) == words(b"7", b"ok", b"", b"ok")
    assert ",replay=a31c3d6cffc90fc47fc97a47e35d8a29 0" in world.server.said[0]
    assert full(b" HIT - ") != b" HIT - "
