"""marbleglade: a front for caches of large objects behind thin links."""

__version__ = "0.2.0"
