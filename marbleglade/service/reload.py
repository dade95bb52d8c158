"""Reload of the configuration at runtime: on SIGHUP the front reads the file again."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import gevent

from ..runtime.error_guard import ErrorGuard
from ..runtime.errors import InvalidConfigurationError, UnreadableConfigurationError
from ..transport.discovery_watch import WatchClient
from .startup_configuration import ReloadedConfiguration, read_reloaded_configuration

if TYPE_CHECKING:
    from ..transport.peer_datagrams import PeerSocket

INITIAL_RETRY_DELAY_S = 0.25  # doubled after each retry
MAX_RETRY_DELAY_S = 2.0
MAX_RETRIES = 60  # with the delays above, retries end after about two minutes


class ConfigurationReload:
    """Applies the settings that a running front can change; settings that differ but can't change are logged.

    A file that can't be read or is incomplete is read again later. A file system may fail for a while, or the
    signal may arrive while the file is being written, and the signal is not sent again.

    Args:
        environ: The environment variables, of which GW_CONFIG gives the path of the file.
        fixed_settings: Settings at startup that a reload can't change, to detect differences.
        deployment: Identity of the deployment at startup, see `startup_configuration.deployment_identity`.
        discovery_watch: The watch stream from the discovery service.
        peers: The socket for datagrams between fronts; None if the front has no peers.
        guard: Records exceptions raised by retries.
    """

    def __init__(
        self,
        environ: Mapping[str, str],
        fixed_settings: dict[str, bytes],
        deployment: bytes,
        discovery_watch: WatchClient,
        peers: PeerSocket | None,
        guard: ErrorGuard,
    ) -> None:
        self._environ = environ
        self._fixed_settings = fixed_settings
        self._deployment = deployment
        self._discovery_watch = discovery_watch
        self._peers = peers
        self._guard = guard
        self._log = guard.log
        self._retry_greenlet: gevent.Greenlet | None = None

    def reload(self) -> None:
        """Read the file and apply it; if it can't be read, start retries in the background."""
        if self._retry_greenlet:
            self._retry_greenlet.kill(block=False)
            self._retry_greenlet = None
        try:
            self._apply(read_reloaded_configuration(self._environ))
        except InvalidConfigurationError as error:
            self._log_invalid(error)
            if isinstance(error, UnreadableConfigurationError):
                self._retry_greenlet = gevent.spawn(self._guard.call, "configuration_reload", self._retry)

    def _retry(self) -> None:
        """Try to read the file until that succeeds, at most `MAX_RETRIES` times.

        Each failed retry is counted as `configuration_reload.unreadable`, the failed first attempt as
        `configuration_reload.invalid`. The end of retries without success is not logged: the front keeps its
        old configuration until the next SIGHUP.
        """
        delay_s = INITIAL_RETRY_DELAY_S
        for _ in range(MAX_RETRIES):
            gevent.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            try:
                self._apply(read_reloaded_configuration(self._environ))
            except UnreadableConfigurationError:
                self._log.counters.add("configuration_reload.unreadable")
            except InvalidConfigurationError as error:
                self._log_invalid(error)
                return
            else:
                return

    def _log_invalid(self, error: InvalidConfigurationError) -> None:
        self._log.counters.add("configuration_reload.invalid")
        self._log.info("configuration_reload", invalid=str(error))

    def _apply(self, configuration: ReloadedConfiguration) -> None:
        """Apply the settings that can change, unless the file belongs to another deployment.

        The reload is counted as `configuration_reload.applied` before any setting is applied, and logged
        before the watch of the discovery service changes. So if an exception is raised midway and counted as
        `exception.configuration_reload`, the configuration may have been applied in part.
        """
        if configuration.deployment and configuration.deployment != self._deployment:
            # The endpoint list of another deployment would leave the front without usable caches.
            self._log.counters.add("configuration_reload.other_deployment")
            self._log.info(
                "configuration_reload", invalid="the file belongs to another deployment: nothing is applied"
            )
            return
        self._log.counters.add("configuration_reload.applied")
        if self._peers and configuration.peers:
            self._peers.replace_peers(configuration.peers, configuration.peers_all)
        self._log.info(
            "configuration_reload",
            last_event=self._discovery_watch.last_index,
            discovery=":".join(map(str, configuration.discovery_address)),
            not_changed=[
                field
                for field, value in configuration.fixed_settings.items()
                if self._fixed_settings.get(field) != value
            ],
        )
        self._discovery_watch.apply_known_events(configuration.known_events)
        self._discovery_watch.reconnect(configuration.discovery_address)
