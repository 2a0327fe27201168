"""Least-squares lines through measured points, with their residuals."""

from dataclasses import dataclass
from statistics import linear_regression

# Maximum residual of a linear cost, as a share of the range of y. Points with a larger
# residual do not lie on a line, and the line must not be extrapolated to the target.
MAX_RESIDUAL_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line and its deviation from the points.

    Parameters
    ----------
    slope, intercept : float
        Coefficients of the line.
    residual : float
        Root mean square of the distances of the points from the line, in the unit
        of y.
    y_range : float
        Difference between the highest and the lowest y of the points.
    """

    slope: float
    intercept: float
    residual: float
    y_range: float

    def value_at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x

    @property
    def is_linear(self) -> bool:
        """Return whether the residual is small compared with the range of y."""
        return self.residual <= MAX_RESIDUAL_SHARE * self.y_range


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Return the line fitted to at least two points with different x."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    slope, intercept = linear_regression(xs, ys)
    squared_residuals = [(y - intercept - slope * x) ** 2 for x, y in points]
    residual = (sum(squared_residuals) / len(squared_residuals)) ** 0.5
    return Line(slope, intercept, residual, max(ys) - min(ys))
