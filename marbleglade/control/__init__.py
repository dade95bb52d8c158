"""The control plane: distribution and confirmation of events, and of configuration, for large fleets."""
