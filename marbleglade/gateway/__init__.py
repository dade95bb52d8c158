"""Carries retrievals between regions. Only `connection`, `asker`, `answerer` and `life` do I/O."""
