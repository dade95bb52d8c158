"""The state of one front process, all of it bounded in memory.

- `upstream_registry`: the upstreams;
- `open_requests` and `decisions`: the requests without a response, and the policy's decisions on them;
- `local_cache`: the front's own cache; `directory`: the caches that recently served an object;
- `purge_history`: the recent purges; `purge_index`: lookup of the items that a purge applies to;
- `body_budget`: the bytes of bodies in transfer; `recent_trace_ids`: the trace ids received recently.
"""
