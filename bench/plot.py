"""Plots with logarithmic axes, as SVG text."""

from dataclasses import dataclass
from html import escape
from math import log10

WIDTH = 640
HEIGHT = 400
LEFT = 70
BOTTOM = 60
TOP = 40
RIGHT = 30
COLORS = ("#23618e", "#b5521f", "#4a7a3a")


@dataclass(frozen=True, slots=True)
class Mark:
    """A data point with its label."""

    x: float
    y: float
    label: str


@dataclass(frozen=True, slots=True)
class Curve:
    """A named line through data points, in order."""

    name: str
    marks: tuple[Mark, ...]


@dataclass(frozen=True, slots=True)
class Axis:
    """A logarithmic axis from `low` to `high`, with ticks at powers of ten."""

    title: str
    low: float
    high: float

    def position(self, value: float) -> float:
        """Return the position of a value: 0 at `low` and below, 1 at `high`."""
        at = log10(max(value, self.low) / self.low)
        return at / log10(self.high / self.low)

    def ticks(self) -> list[float]:
        """Return the powers of ten on the axis."""
        first, last = round(log10(self.low)), round(log10(self.high))
        return [10.0**power for power in range(first, last + 1)]


def render(title: str, x: Axis, y: Axis, curves: tuple[Curve, ...]) -> str:
    """Return a plot of `curves` as one SVG document."""
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="#fff"/>',
        f'<text x="{LEFT}" y="20" font-size="14">{escape(title)}</text>',
        *(vertical_grid_line(x, tick) for tick in x.ticks()),
        *(horizontal_grid_line(y, tick) for tick in y.ticks()),
        f'<text x="{LEFT}" y="{HEIGHT - 12}">{escape(x.title)}</text>',
        f'<text x="{LEFT}" y="{TOP - 4}">{escape(y.title)}</text>',
        *(draw(curve, x, y, color) for curve, color in zip(curves, COLORS, strict=False)),
        "</svg>",
    ]
    return "\n".join(parts) + "\n"


def to_x(axis: Axis, value: float) -> float:
    """Return the horizontal position of a value in pixels."""
    return LEFT + axis.position(value) * (WIDTH - LEFT - RIGHT)


def to_y(axis: Axis, value: float) -> float:
    """Return the vertical position of a value in pixels."""
    return HEIGHT - BOTTOM - axis.position(value) * (HEIGHT - BOTTOM - TOP)


def vertical_grid_line(axis: Axis, tick: float) -> str:
    """Return a vertical grid line with its tick label."""
    at = to_x(axis, tick)
    bottom = HEIGHT - BOTTOM
    return (
        f'<line x1="{at:.1f}" y1="{TOP}" x2="{at:.1f}" y2="{bottom}" stroke="#ddd"/>'
        f'<text x="{at:.1f}" y="{bottom + 16}" text-anchor="middle">{tick:g}</text>'
    )


def horizontal_grid_line(axis: Axis, tick: float) -> str:
    """Return a horizontal grid line with its tick label."""
    at = to_y(axis, tick)
    return (
        f'<line x1="{LEFT}" y1="{at:.1f}" x2="{WIDTH - RIGHT}" y2="{at:.1f}" stroke="#ddd"/>'
        f'<text x="{LEFT - 6}" y="{at + 4:.1f}" text-anchor="end">{tick:g}</text>'
    )


def draw(curve: Curve, x: Axis, y: Axis, color: str) -> str:
    """Return a curve with its marks, and with its name at the last mark."""
    points = [(to_x(x, mark.x), to_y(y, mark.y), mark.label) for mark in curve.marks]
    line = " ".join(f"{x_px:.1f},{y_px:.1f}" for x_px, y_px, _ in points)
    dots = "".join(
        f'<circle cx="{x_px:.1f}" cy="{y_px:.1f}" r="4" fill="{color}"/>'
        f'<text x="{x_px + 6:.1f}" y="{y_px - 6:.1f}" fill="{color}">{escape(label)}</text>'
        for x_px, y_px, label in points
    )
    last_x, last_y, _ = points[-1]
    name = (
        f'<text x="{last_x - 8:.1f}" y="{last_y + 18:.1f}" fill="{color}" text-anchor="end" '
        f'font-weight="bold">{escape(curve.name)}</text>'
    )
    return (
        f'<polyline points="{line}" fill="none" stroke="{color}" stroke-width="1.5"/>{dots}{name}'
    )
