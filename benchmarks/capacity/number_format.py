"""Formats figures for the capacity page: three significant digits, and a prefix of the unit."""

from __future__ import annotations

import math

PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"), (1.0, ""), (1e-3, "m"), (1e-6, "µ"), (1e-9, "n"))
DIGITS = 3
UNITS_WITHOUT_PREFIX = ("1", "", "1/s", "core")
UNITS_WITHOUT_SMALL_PREFIX = ("B", "B/s")  # mB would be read as MB


def number_text(value: float) -> str:
    """Format a number with three significant digits and separated thousands, without an exponent."""
    if value == 0:
        return "0"
    decimals = max(0, DIGITS - 1 - math.floor(math.log10(abs(value))))
    text = f"{round(value, decimals):,.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def with_unit(value: float, unit: str) -> str:
    """Format a figure with its unit, such as "113 kB/s"."""
    if unit in UNITS_WITHOUT_PREFIX:
        return f"{number_text(value)} {unit}".removesuffix(" 1").rstrip()
    if value == 0 or (unit in UNITS_WITHOUT_SMALL_PREFIX and abs(value) < 1):
        return f"{number_text(value)} {unit}"
    scale, prefix = next(
        ((scale, prefix) for scale, prefix in PREFIXES if abs(value) >= scale * 0.9995), PREFIXES[-1]
    )
    return f"{number_text(value / scale)} {prefix}{unit}"


def formula(intercept: float, per: dict[str, float], unit: str) -> str:
    """Format a slope as a formula, such as "54 B + 16 B a zone"."""
    parts = [with_unit(intercept, unit)]
    for variable, each in per.items():
        sign = "-" if each < 0 else "+"
        parts.append(f"{sign} {with_unit(abs(each), unit)} a {variable.replace('_', ' ')}")
    return " ".join(parts)
