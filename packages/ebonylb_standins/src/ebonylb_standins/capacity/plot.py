"""Plots as SVG text, generated without a drawing library."""

from .fit import Line
from .series import Series, format_number

WIDTH, HEIGHT = 560, 320
LEFT_MARGIN, RIGHT_MARGIN, TOP_MARGIN, BOTTOM_MARGIN = 80, 20, 40, 50
TICK_INTERVALS = 4


def plot_svg(series: Series, line: Line) -> str:
    """Return a plot of the points and the fitted line, with labels on both axes."""
    xs = [x for x, _ in series.points]
    ys = [y for _, y in series.points]
    x_max = max(xs) or 1.0
    y_max = max(*ys, line.value_at(x_max), line.intercept, 1e-9) * 1.1

    def to_pixels(x: float, y: float) -> tuple[float, float]:
        pixel_x = LEFT_MARGIN + x / x_max * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
        pixel_y = (
            HEIGHT
            - BOTTOM_MARGIN
            - max(y, 0.0) / y_max * (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN)
        )
        return round(pixel_x, 1), round(pixel_y, 1)

    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        text_element(
            LEFT_MARGIN,
            20,
            f"{series.title}, slope {format_number(line.slope)} {series.slope_unit}",
        ),
        text_element((LEFT_MARGIN + WIDTH) / 2, HEIGHT - 10, series.x_label, "middle"),
        text_element(LEFT_MARGIN, TOP_MARGIN - 6, series.y_label, "end"),
    ]
    for tick in range(TICK_INTERVALS + 1):
        x, y = x_max * tick / TICK_INTERVALS, y_max * tick / TICK_INTERVALS
        pixel_x, _ = to_pixels(x, 0)
        _, pixel_y = to_pixels(0, y)
        elements.append(
            text_element(
                pixel_x, HEIGHT - BOTTOM_MARGIN + 16, format_number(x), "middle"
            )
        )
        elements.append(
            text_element(LEFT_MARGIN - 6, pixel_y + 4, format_number(y), "end")
        )
        elements.append(
            line_element(
                (LEFT_MARGIN, pixel_y), (WIDTH - RIGHT_MARGIN, pixel_y), "#ddd"
            )
        )
    line_ends = to_pixels(0, line.intercept), to_pixels(x_max, line.value_at(x_max))
    elements.append(line_element(*line_ends, "#c33"))
    for point in series.points:
        x, y = to_pixels(*point)
        elements.append(f'<circle cx="{x}" cy="{y}" r="4" fill="#225"/>')
    return "\n".join([*elements, "</svg>", ""])


def text_element(x: float, y: float, content: str, anchor: str = "start") -> str:
    """Return an SVG text element with escaped content."""
    escaped = content.replace("&", "&amp;").replace("<", "&lt;")
    return f'<text x="{x}" y="{y}" text-anchor="{anchor}">{escaped}</text>'


def line_element(
    start: tuple[float, float], end: tuple[float, float], colour: str
) -> str:
    """Return an SVG line element."""
    return (
        f'<line x1="{start[0]}" y1="{start[1]}" x2="{end[0]}" y2="{end[1]}" '
        f'stroke="{colour}"/>'
    )
