from xml.etree import ElementTree

import pytest

from ebonylb_standins.capacity.fit import fit_line
from ebonylb_standins.capacity.plot import plot_svg
from ebonylb_standins.capacity.series import Series, format_number, format_slope_table
from ebonylb_standins.capacity.target import TARGET


class TestFit:
    def test_points_on_a_line_give_its_coefficients(self):
        """Guards against values at the target that do not follow from the points."""
        line = fit_line([(0, 1.0), (2, 5.0), (4, 9.0)])
        assert (line.slope, line.intercept) == pytest.approx((2.0, 1.0))
        assert line.residual == pytest.approx(0.0, abs=1e-9)
        assert line.value_at(340) == pytest.approx(681.0)
        assert line.is_linear

    def test_quadratic_cost_is_not_linear(self):
        """Guards against linear extrapolation of a cost that grows quadratically."""
        line = fit_line([(float(x), float(x**2)) for x in (4, 8, 16, 32)])
        assert not line.is_linear

    def test_residual_is_the_root_mean_square(self):
        """Guards against a residual in a unit other than that of y."""
        line = fit_line([(0, 0.0), (1, 2.0), (2, 0.0)])
        assert line.slope == pytest.approx(0.0)
        assert line.residual == pytest.approx((8 / 9) ** 0.5)


class TestTable:
    SERIES = Series("a-b", "CPU & more", "peers", "%", 16, [(4, 1.0), (8, 2.0)])

    def test_row_holds_the_value_at_the_target(self):
        """Guards against a table whose values differ from those of the fit."""
        table = format_slope_table([self.SERIES], "--only peers").splitlines()
        assert len(table) == 3
        cells = [cell.strip() for cell in table[2].split("|")[1:-1]]
        assert cells[:4] == ["CPU & more", "peers: 4, 8", "0 %", "0.25"]
        assert cells[6:] == ["16", "4", "`--only peers`"]
        assert len(table[0].split("|")) == len(table[2].split("|"))

    def test_plot_is_valid_xml_and_has_all_points(self):
        """Guards against plots that viewers cannot open or that omit a point."""
        svg = plot_svg(self.SERIES, fit_line(self.SERIES.points))
        root = ElementTree.fromstring(svg)
        assert len(root.findall("{*}circle")) == 2

    @pytest.mark.parametrize(
        "value, shown",
        [(0, "0"), (12_340, "12,340"), (0.0004, "0.0004"), (2.125, "2.12")],
    )
    def test_numbers_have_no_exponents(self, value, shown):
        """Guards against exponents and long fractions in the operator's tables."""
        assert format_number(value) == shown


class TestTarget:
    def test_derived_sizes(self):
        """Guards against measurements for a site other than that of the design."""
        assert TARGET.shards_per_domain == 32
        assert TARGET.shards == 672
        assert TARGET.members_per_domain == pytest.approx(340 / 21)
        assert TARGET.tokens_per_request == pytest.approx(421.4, abs=0.1)
        assert TARGET.list_entries == 12_340
