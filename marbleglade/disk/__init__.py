"""Disk cache: admission and eviction, storage in segment files, and recovery after a crash.

`disk_cache` is the entry point and documents the order of writes.

Storage: `records` encodes and decodes records, `segment_log` appends them to the segment files of `files`.
`index` is the durable index in LMDB. `entry_store` adds the changes that are not committed to it yet.
`recovery` restores the entries at the start. `compaction` frees segments.

Policy: `admission` decides whether a part is written, based on `eviction` (which uses `entry_table` and
`frequency_sketch`) and on `write_budget`. `purge_marks` identifies the versions that must not be returned.
"""
