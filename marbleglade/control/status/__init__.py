"""The status of control nodes: built by each node, queried from all nodes, and merged."""
