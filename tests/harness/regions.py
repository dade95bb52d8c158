"""Two regions whose gateways run in the test process."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from marbleglade.deployment.reader import read
from marbleglade.gateway.gateway_process import Gateway
from marbleglade.gateway.link.links import Link
from marbleglade.testing.client import Client
from marbleglade.testing.regions import StandInRegions
from tests.harness.log_file import broken_rules
from tests.harness.waiting import wait_until

LINK = "link { beat_ms: 20 silent_ms: 120 }\nrules { cold_ms: 0 }\n"


class TwoRegions:
    """Two stand-in regions and their gateways, which run in the test process.

    Args:
        folder: The directory of the deployment file and the log.
        more: Further lines of the deployment file.
        **options: Options of the stand-in regions.
    """

    def __init__(self, folder: Path, more: str = LINK, **options: Any) -> None:
        self.regions = StandInRegions(more, **options)
        self.east, self.west = self.regions.both
        self.path = folder / "two.textproto"
        self.path.write_text(self.regions.deployment_text())
        self.sink = (folder / "log").open("wb")
        self.gateways: dict[str, Gateway] = {}
        self.clients: list[Client] = []
        for region in self.regions.both:
            for name in region.gateways:
                self.start(name)
        wait_until(
            lambda: all(
                link.up
                for gateway in self.gateways.values()
                for requester in gateway.components.requesters
                for link in requester.links
            )
        )

    def start(self, name: str) -> Gateway:
        """Starts a gateway."""
        gateway = self.gateways[name] = Gateway(read(str(self.path), name), sink=self.sink.fileno())
        gateway.start()
        return gateway

    def kill(self, name: str) -> None:
        """Ends a gateway as SIGKILL would: closes its sockets without sending anything."""
        self.gateways.pop(name).close()

    def client(self, name: str = "east-1") -> Client:
        """Connects a new client to a gateway."""
        region = self.east if name.startswith("east") else self.west
        client = Client(("127.0.0.1", region.ports[name][0]), len(self.clients) + 1)
        self.clients.append(client)
        return client

    def links(self, name: str = "east-1") -> list[Link]:
        """The links from a gateway to the other region."""
        return self.gateways[name].components.requesters[0].links

    def count(self, counter: str, names: Iterable[str] = ("east-1", "east-2", "west-1", "west-2")) -> int:
        """The sum of a counter over those of the named gateways that are running."""
        running = [self.gateways[name].components for name in names if name in self.gateways]
        return sum(components.counters.counts[counter] for components in running)

    def close(self) -> None:
        """Closes everything; asserts that all responses were valid and no invariant was violated."""
        for client in self.clients:
            client.close()
            assert not client.duplicate_responses and not client.malformed_responses
        for gateway in self.gateways.values():
            counts = gateway.components.counters.counts
            assert not broken_rules(counts)
            gateway.close()
        self.regions.close()
        self.sink.close()
