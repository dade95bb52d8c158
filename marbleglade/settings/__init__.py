"""Reading and validation of the operators' settings."""
