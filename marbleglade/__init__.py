"""marbleglade: a reverse proxy in front of caches that hold large objects behind low-bandwidth links."""

__version__ = "0.2.0"
