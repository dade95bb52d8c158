"""The membership of the quorum, from the point of view of one replica."""

from __future__ import annotations


class Group:
    """The members of the quorum, each with one replica.

    Args:
        name: The name of this node.
        members: The names of all nodes in the order of the settings, which is the same on every node.

    Attributes:
        other_members: The names of all members except this node.
        own_index: The position of this node in `members`.
        majority: The number of members that form a majority.
    """

    def __init__(self, name: str, members: tuple[str, ...]) -> None:
        self.name = name
        self.members = members
        self.other_members = tuple(member for member in members if member != name)
        self.own_index = members.index(name)
        self.majority = len(members) // 2 + 1
