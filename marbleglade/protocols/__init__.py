"""Codecs between bytes and typed messages, without I/O.

Stream protocols: `client_protocol` is used with clients and `cache_protocol` with caches;
`cache_server_protocol` is the cache's side of the latter. `discovery_protocol` delivers endpoint lists and
purges.

Datagrams between fronts: `update_datagrams` (anti-entropy), `fleet_datagrams` and `maintenance_datagrams`,
which share `datagram_fields`.
"""
