"""Plots of a measurement, for `docs/CAPACITY.md`."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # imported after the backend is selected
from matplotlib.axes import Axes

from .points import Point

FIGURE_INCHES = (9.0, 3.2)  # inches
DOTS_PER_INCH = 80
DEFAULT_PURGES_PER_S = 12.0
PURGE_DEADLINE_S = 2.6

Quantity = Callable[[Point], float | None]


def draw(points: list[Point], path: Path) -> None:
    """Plot purge times, processor time and bytes of a front against the number of fronts."""
    figure, panels = pyplot.subplots(1, 3, figsize=FIGURE_INCHES)
    _panel(panels[0], points, "seconds to the last front, worst", lambda one: one.purge_everywhere_s_worst)
    panels[0].axhline(PURGE_DEADLINE_S, color="grey", linestyle=":")
    _panel(panels[1], points, "processor time of a front, share of a core", lambda point: point.front_cpu)
    _panel(
        panels[2],
        points,
        "bytes a second of a front",
        lambda point: point.front_bytes_in_per_s + point.front_bytes_out_per_s,
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _panel(panel: Axes, points: list[Point], title: str, quantity: Quantity) -> None:
    for mode in ("discovery", "control"):
        chosen = sorted(
            (point.fronts, value)
            for point in points
            if point.mode == mode
            and point.sweep in ("fronts", "control")
            and point.purges_per_s == DEFAULT_PURGES_PER_S
            and (value := quantity(point)) is not None
        )
        if chosen:
            panel.plot(*zip(*chosen, strict=True), marker="o", label=mode)
    panel.set_title(title, fontsize=8)
    panel.set_xlabel("fronts", fontsize=8)
    panel.tick_params(labelsize=7)
    panel.set_ylim(bottom=0)
    panel.legend(fontsize=7)
