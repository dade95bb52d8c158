"""When this front was told of which purge; kept until no older copy is left anywhere."""

from __future__ import annotations


class Purges:
    def __init__(self, lasting: int) -> None:
        self.lasting = lasting
        self.told: dict[tuple[str, int], int] = {}      # in the order of telling

    def add(self, thing: int, group: int, now: int) -> None:
        place = ("object", thing) if thing else ("group", group)
        self.told.pop(place, None)
        self.told[place] = now
        while now - next(iter(self.told.values())) > self.lasting:
            del self.told[next(iter(self.told))]

    def since(self, thing: int, group: int, moment: int) -> bool:
        """True if a purge of this object, or of its group, was told after that moment."""
        return any(self.told.get(place, 0) > moment for place in (("object", thing), ("group", group)))
