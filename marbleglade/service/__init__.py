"""The process of a front: startup configuration, wiring, main loop, reload and shutdown."""
