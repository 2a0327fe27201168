"""Lines through measured points, with their residual."""

from dataclasses import dataclass
from statistics import linear_regression

# A residual beyond this part of the measured range means that the points do not
# lie on a line, and the figure at the target is then no extrapolation of one.
MAX_RESIDUAL_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line.

    Parameters
    ----------
    slope, intercept : float
        The line.
    residual : float
        Root mean square of the distances of the points from the line, in the unit
        of y.
    span : float
        Greatest minus least y of the points.
    """

    slope: float
    intercept: float
    residual: float
    y_range: float

    def value_at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x

    @property
    def is_linear(self) -> bool:
        """Tell whether the points lie near the line, against their range."""
        return self.residual <= MAX_RESIDUAL_SHARE * self.y_range


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Fit a line through at least two points with different x."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = linear_regression(xs, ys)
    squared_residuals = [(y - intercept - slope * x) ** 2 for x, y in points]
    residual = (sum(squared_residuals) / len(squared_residuals)) ** 0.5
    return Line(slope, intercept, residual, max(ys) - min(ys))
