"""Forwards requests between regions over links that may fail; `docs/architecture.md` follows one request.

- Process: `gateway_process` runs the components that `wiring` and `region_wiring` create; `status` reports
  their state.
- Routing: `region_router` tries one region after another, in the order that `routes` determines;
  `routed_request` holds the routing state. `remote_region` is the request handler of another region, and
  `region_events` passes purges and endpoint changes to all handlers.
- Requesting side: `requester` forwards requests over links, within `concurrency_limit`; `partial_bodies`
  stores the first bytes of responses that were not received completely.
- Responding side: `responder` accepts connections, each with the state in `peer_connection`.
  `forwarded_requests` runs each request that they carry at most once, and `request_journal` records the
  status of each.
- Both sides: `purge_log`, `clock_offset`, and the package `link` with frames, flow control and recovery.
"""
