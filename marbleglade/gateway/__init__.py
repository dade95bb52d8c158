"""Carries retrievals between regions. Only `connection`, `requester`, `responder` and `life` do I/O."""
