"""The deployment file: its schema, reader and checks, and the policy environments derived from it."""
