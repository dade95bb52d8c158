"""The control node process: listener, discovery watch, load view aggregation."""
