"""Two regions on loopback: retrievals carried across, through cuts, purges, deaths and bad input."""

import pytest

from marbleglade.deployment.reading import read
from marbleglade.gateway.life import Gateway
from marbleglade.standins.clients import Client
from marbleglade.standins.places import Visit
from marbleglade.standins.regions import StandInRegions
from marbleglade.standins.world import group_of, version_of

from .conftest import until

WEST, EAST = 0xF << 60, 0
VIDEO, PAGE = 3, 0      # the last bits of an object of either kind
BIG = 0xFFFF << 16
LINK = "link { beat_ms: 20 silent_ms: 120 }\nrules { cold_ms: 0 }\n"


class Two:
    """Both regions with their gateways, in this process."""

    def __init__(self, tmp_path, more=LINK, **each):
        self.regions = StandInRegions(more, **each)
        self.east, self.west = self.regions.both
        self.path = tmp_path / "two.textproto"
        self.path.write_text(self.regions.text())
        self.sink = (tmp_path / "log").open("wb")
        self.gateways, self.clients = {}, []
        for region in self.regions.both:
            for name in region.gateways:
                self.start(name)
        until(lambda: all(link.up for one in self.gateways.values()
                          for links in one.links for link in links.links))

    def start(self, name):
        self.gateways[name] = one = Gateway(read(str(self.path), name), sink=self.sink.fileno())
        one.start()
        return one

    def kill(self, name):
        """As SIGKILL would: its sockets go, and nothing is said."""
        self.gateways.pop(name).close()

    def client(self, name="east-1"):
        region = self.east if name.startswith("east") else self.west
        one = Client(("127.0.0.1", region.ports[name][0]), len(self.clients) + 1)
        self.clients.append(one)
        return one

    def links(self, name="east-1"):
        return self.gateways[name].links[0]

    def count(self, what, names=("east-1", "east-2", "west-1", "west-2")):
        return sum(self.gateways[one].counters.counts[what] for one in names if one in self.gateways)

    def close(self):
        for one in self.clients:
            one.close()
            assert not one.doubled and not one.garbled
        for one in self.gateways.values():
            broken = {name: n for name, n in one.counters.counts.items()
                      if name.startswith(("trouble.", "broken."))}
            assert not broken
            one.close()
        self.regions.close()
        self.sink.close()


@pytest.fixture
def two(tmp_path):
    one = Two(tmp_path)
    yield one
    one.close()


def ask(client, thing, profile="", **how):
    return client.ask(profile or ("dish-media" if thing & 3 == 3 else "menu-pages"), thing,
                      group=group_of(thing), **how)


def version(said, thing):
    assert said is not None and said.word == "ok", said
    found = version_of(said.body, thing, 0)
    assert found is not None
    return found


@pytest.mark.parametrize("thing", [WEST | 4, WEST | BIG | VIDEO, EAST | 1 << 20 | 4, EAST | BIG | VIDEO])
@pytest.mark.parametrize("door", ["east-1", "west-2"])
def test_a_retrieval_is_carried_to_where_its_object_is(two, thing, door):
    assert version(ask(two.client(door), thing), thing) == 1


def test_the_place_door_gives_the_same(two):
    visit = Visit(("127.0.0.1", two.east.ports["east-1"][1]))
    thing = WEST | BIG | VIDEO
    answer = visit.ask("dish-media", f"{thing:016x}", 0, 1500)
    assert answer.word == "HIT" and version_of(answer.body, thing, 0) == 1
    assert visit.say("p1", b"top p1\r\n").word == "PONG"
    visit.close()
