"""A replicated register of configuration versions: the replica, its durable store and its network."""
