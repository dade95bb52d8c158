"""The event log of a control node, the watcher sessions that read it, and the acknowledgements of fronts."""
