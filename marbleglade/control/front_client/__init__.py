"""The control plane client of a front: node selection, connections, event dispatch and confirmations."""
