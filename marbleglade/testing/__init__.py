"""Stand-ins (test doubles) that speak the published protocols on loopback, and fault injection for tests."""
