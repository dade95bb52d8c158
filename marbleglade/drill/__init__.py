"""The adapter between the drill wire and the decisions."""
