"""A deployment: its schema, the one reading of it, and what is wrong with it."""
