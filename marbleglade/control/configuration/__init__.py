"""Configuration documents: parsing, proposing to control nodes, versions and application at fronts."""
