"""Renders the burn report as one self-contained HTML page with plots."""

from datetime import UTC, datetime
from html import escape

from cactusvane.clock import MS_PER_SECOND
from cactusvane.report.burn import Alarm, BurnReport, KindBurn, SeriesPoint, ServiceBurn
from cactusvane.report.ledger import BUCKET_MS

PLOT_WIDTH = 640
PLOT_HEIGHT = 120
MARGIN = 44
AXIS_START = 0.99

STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0; }
th, td { padding: 0.25em 0.8em; border-bottom: 1px solid #ddd; text-align: right;
  white-space: nowrap; }
th:first-child, td:first-child { text-align: left; }
.fast { background: #f6c9c4; } .slow { background: #fbe8b4; }
.gap { background: #fbe8b4; padding: 0.4em 0.8em; }
svg { background: #fafafa; } path { fill: none; stroke: #23618e; stroke-width: 1.5; }
text { font: 11px sans-serif; fill: #555; } line { stroke: #ccc; }
"""

HEADINGS = (
    "Kind",
    "Objective",
    "Requests, 6 h",
    "Burn, 1 h",
    "Burn, 5 min",
    "Burn, 6 h",
    "Burn, 30 min",
    "Budget left, 30 d",
    "Alarm",
)


def render(report: BurnReport) -> str:
    """Return the report as an HTML page that loads no other resources.

    Parameters
    ----------
    report
        Report to render.

    Returns
    -------
    str
        A complete HTML document.
    """
    sections = "".join(section(service) for service in report.services)
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        f"<title>Service-level burn</title><style>{STYLE}</style>"
        f"<h1>Service-level burn</h1><p>{format_time(report.at_ms)}</p>"
        f"{coverage_note(report.coverage)}{sections}</html>"
    )


def format_time(ms: float) -> str:
    """Return a time in milliseconds since the epoch as text in UTC."""
    return datetime.fromtimestamp(ms / MS_PER_SECOND, UTC).strftime("%Y-%m-%d %H:%M UTC")


def coverage_note(coverage: float) -> str:
    """Return a paragraph that says how many of the expected buckets are missing."""
    if coverage >= 1.0:
        return "<p>The figures of all VMs are complete.</p>"
    missing = f"{1.0 - coverage:.1%}"
    return (
        f"<p class=gap>{missing} of the figures are missing; "
        "they count neither as good nor as bad.</p>"
    )


def section(burn: ServiceBurn) -> str:
    """Return the section of one service."""
    headings = "".join(f"<th>{heading}</th>" for heading in HEADINGS)
    rows = "".join(row(kind) for kind in burn.kinds)
    return (
        f"<h2>{escape(burn.service)}</h2>"
        f"<p>{burn.delivered:.4%} delivered in good order, weighted by kind.</p>"
        f"<table><tr>{headings}</tr>{rows}</table>{plot(burn.series)}"
    )


def row(kind: KindBurn) -> str:
    """Return the table row of one kind of request."""
    windows = (kind.fast_long, kind.fast_short, kind.slow_long, kind.slow_short)
    cells = [
        escape(kind.objective.kind),
        f"{kind.objective.share:.3%} in {kind.objective.latency_ms} ms",
        f"{kind.slow_long.total}",
        *(f"{window.rate:.2f}" for window in windows),
        f"{kind.budget_left:.1%}",
        kind.alarm.value,
    ]
    name = "" if kind.alarm is Alarm.NONE else f" class={kind.alarm.value}"
    return f"<tr{name}>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def plot(points: tuple[SeriesPoint, ...]) -> str:
    """Return an SVG plot of the share of good requests over time, with gaps for missing buckets.

    The vertical axis starts at `AXIS_START`, or at the lowest share if that is lower.
    """
    drawn = [point for point in points if point.total]
    if len(drawn) < 2:
        return "<p>Too few buckets for a plot.</p>"
    first, last = drawn[0].start_ms, drawn[-1].start_ms
    lowest = min(AXIS_START, min(point.good / point.total for point in drawn))
    base = PLOT_HEIGHT - MARGIN
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" xmlns="http://www.w3.org/2000/svg">'
        f'<line x1="{MARGIN}" y1="{MARGIN}" x2="{PLOT_WIDTH - MARGIN}" y2="{MARGIN}"/>'
        f'<line x1="{MARGIN}" y1="{base}" x2="{PLOT_WIDTH - MARGIN}" y2="{base}"/>'
        f'<text x="4" y="{MARGIN + 4}">100%</text><text x="4" y="{base + 4}">{lowest:.1%}</text>'
        f'<text x="{MARGIN}" y="{PLOT_HEIGHT - 8}">{format_time(first)}</text>'
        f'<text x="{PLOT_WIDTH - 150}" y="{PLOT_HEIGHT - 8}">{format_time(last)}</text>'
        f'<path d="{path(drawn, lowest)}"/></svg>'
    )


def path(points: list[SeriesPoint], lowest: float) -> str:
    """Return the data of an SVG path through the points, interrupted at each gap."""
    first, last = points[0].start_ms, points[-1].start_ms
    x_scale = (PLOT_WIDTH - 2 * MARGIN) / (last - first)
    y_scale = (PLOT_HEIGHT - 2 * MARGIN) / (1.0 - lowest)
    steps = []
    previous = first - 2 * BUCKET_MS
    for point in points:
        move = "L" if point.start_ms - previous <= BUCKET_MS else "M"
        x = MARGIN + (point.start_ms - first) * x_scale
        y = MARGIN + (1.0 - point.good / point.total) * y_scale
        steps.append(f"{move}{x:.1f},{y:.1f}")
        previous = point.start_ms
    return " ".join(steps)
