"""Connections to clients, upstreams, the discovery service and other fronts; the codecs are in `protocols`.

- Clients: `client_listener` accepts connections, `request_reader` reads them, `request_dispatcher` handles
  each message, `response_writer` writes the responses; they share the state in `client_connection`.
  `client_registry` limits and closes connections, `client_end_detector` detects clients that have left.
- Fronts that use this process as a cache: `cache_server`.
- Upstreams: `upstream_client` executes attempts, `attempt_check` decides just before the write whether an
  attempt may still be sent, `attempt_message` builds its message, `connection_pool` opens and reuses
  connections, `response_reader` reads responses from them.
- Discovery: `discovery_watch` opens connections, `watch_connection` reads one, `event_sequence` checks the
  order of the events.
- Other fronts: `peer_datagrams`.
- Shared: `sockets` (socket calls and retries), `timed_write`, `half_close`, and `arrival`, which bounds the
  arrival time of bytes that were read late.
"""
