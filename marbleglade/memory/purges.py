"""Which purge this front was told of, and when; kept until no older copy is left anywhere."""

from __future__ import annotations

from ..interface import Ground

UNKNOWN = 256  # a group that was not told: any group's purge may be meant


def lasting(ground: Ground) -> int:
    """How long a purge may be met, in nanoseconds: by copies that still lie about, and by the answers to what
    went out before it was told, which may come as late as a client waits."""
    longest = max(profile.client_timeout for profile in ground.profiles)
    return ground.purge_time + max(ground.purge_time, longest)


class Purges:
    def __init__(self, lasting: int) -> None:
        self.lasting = lasting
        self.told: dict[tuple[str, int], tuple[int, int]] = {}  # when told, and of when; oldest first

    def add(self, thing: int, group: int, at: int, now: int) -> None:
        place = ("object", thing) if thing else ("group", group)
        self.told[place] = now, max(at, self.told.pop(place, (0, at))[1])
        while now - next(iter(self.told.values()))[0] > self.lasting:
            del self.told[next(iter(self.told))]

    def since(self, thing: int, group: int, moment: int) -> bool:
        """True if a purge of this object, or of its group, was told after that moment."""
        return any(told > moment for told, _ in self._both(thing, group))

    def latest(self, thing: int, group: int) -> int:
        """When this object, or its group, was last purged; 0: not lately."""
        return max((at for _, at in self._both(thing, group)), default=0)

    def _both(self, thing: int, group: int) -> list[tuple[int, int]]:
        if group == UNKNOWN:
            return [mark for (kind, which), mark in self.told.items() if kind == "group" or which == thing]
        return [self.told[place] for place in (("object", thing), ("group", group)) if place in self.told]

    def any_group(self) -> int:
        """When any group was last purged; 0: not lately."""
        return self.latest(0, UNKNOWN)
