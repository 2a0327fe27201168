"""Measured series and the Markdown table of their slopes."""

from dataclasses import asdict, dataclass, field

from .fit import fit_line


@dataclass
class Series:
    """One quantity measured at several sizes.

    Parameters
    ----------
    name : str
        File name of the plot and key in the JSON file.
    title : str
        Title of the plot and row label in the table.
    x_label, y_label : str
        Unit of the varied size and unit of the measured quantity.
    target : float
        Size that applies to one node of the target site; 0 if there is none.
    points : list of (float, float)
        Pairs of size and measured value.
    """

    name: str
    title: str
    x_label: str
    y_label: str
    target: float = 0.0
    points: list[tuple[float, float]] = field(default_factory=list)

    @property
    def slope_unit(self) -> str:
        """Return the unit of the slope."""
        return f"{self.y_label} per {self.x_label}"

    def row(self) -> dict[str, object]:
        """Return the series, the fit and its target value for results.json."""
        line = fit_line(self.points)
        return {
            **asdict(self),
            "slope": line.slope,
            "intercept": line.intercept,
            "residual": line.residual,
            "is_linear": line.is_linear,
            "at_target": line.value_at(self.target),
        }


def format_slope_table(series: list[Series], command: str) -> str:
    """Return a Markdown table with one row per series.

    `command` holds the options that measure the series.
    """
    lines = [
        "| measured | sizes | intercept | slope | residual | line | "
        "target size | at target | option |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for item in series:
        row = item.row()
        sizes = ", ".join(format_number(x) for x, _ in item.points)
        cells = [
            item.title,
            f"{item.x_label}: {sizes}",
            f"{format_number(row['intercept'])} {item.y_label}",
            format_number(row["slope"]),
            format_number(row["residual"]),
            "yes" if row["is_linear"] else "no",
            format_number(item.target),
            format_number(row["at_target"]),
            f"`{command}`",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def format_number(value: float) -> str:
    """Return a number as text with three significant digits.

    From 100 on, it is rounded to whole numbers. Only values below 1e-6 have an
    exponent.
    """
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    if abs(value) < 1e-6:
        return f"{value:.1e}"
    digits = f"{value:.3g}"
    return f"{value:.9f}".rstrip("0") if "e" in digits else digits
