"""The control plane of a large fleet: distributes events and configuration to fronts and confirms both."""
