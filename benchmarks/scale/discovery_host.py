"""Worker process that runs the discovery services of all regions. Arguments: the names of the regions."""

from __future__ import annotations

import os
import sys

from .discovery import DiscoveryService
from .messages.common import Ready
from .messages.discovery import (
    PublishCaches,
    PublishPurge,
    QueryService,
    RestartNumbering,
    SendPartialLine,
    ServiceReport,
    SilenceFollowers,
)
from .worker import cpu_of, memory_of, serve


class DiscoveryHost:
    """Executes the scale run's commands on the discovery services of all regions."""

    def __init__(self, regions: list[str]) -> None:
        self.services = {region: DiscoveryService() for region in regions}

    def handle(self, command: object) -> object | None:
        """Execute one command; return the reply, or None if it has no result."""
        match command:
            case PublishPurge(object_id, group, unix_ms):
                for service in self.services.values():
                    service.publish_purge(object_id, group, unix_ms)
            case PublishCaches(servers):
                for service in self.services.values():
                    service.publish_caches(servers)
            case SilenceFollowers(region, one_in, reconnections):
                self.services[region].silence(one_in, reconnections)
            case SendPartialLine(region):
                self.services[region].send_partial_line()
            case RestartNumbering(region):
                self.services[region].restart_numbering()
            case QueryService():
                services = self.services.values()
                return ServiceReport(
                    cpu_of(os.getpid()),
                    memory_of(os.getpid()),
                    sum(service.bytes_out for service in services),
                    sum(len(service.followers) for service in services),
                )
            case _:
                raise ValueError(f"unknown command: {command!r}")
        return None


if __name__ == "__main__":
    host = DiscoveryHost(sys.argv[1:])
    addresses = {region: ":".join(map(str, service.address)) for region, service in host.services.items()}
    serve(Ready(addresses), host.handle)
