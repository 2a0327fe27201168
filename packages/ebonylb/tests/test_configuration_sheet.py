import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from ebonylb.configuration import EMPTY_SHEET, ChangeKind, diff, parse_sheet
from ebonylb.settings import parse_model
from ebonylb.settings.document import read_document
from ebonylb.settings.model import Settings

SHEET = """{
  // comment with a "quote" and a { brace
  "day": "2026-03-02",
  "parties": {"desk": {"role": "desk"}, "rider": {"role": "trainer"}},
  "services": {
    "lm": {"kind": "engine", "shares": {"desk": 3, "rider": 1}},
    "app": {"kind": "plain", "shares": {"desk": 1}},
  },
}"""

MISTAKES = [
    ('"2026-03-02"', '"02.03.2026"', "line 3: day: '02.03.2026' is not valid"),
    ('"rider": 1', '"ridr": 1', "line 6: services.lm.shares.ridr: 1 is not valid: "
     "'ridr' is not in parties; valid: desk, rider"),
    ('"rider": 1', '"rider": 0', "line 6: services.lm.shares.rider: 0 is not valid"),
    ('"rider": 1', '"rider": "1"', "line 6: services.lm.shares.rider: '1' is not"),
    ('"rider": 1', '"rider": 1e999', "line 6: services.lm.shares.rider: inf is not"),
    ('"rider": 1', '"desk": 1', "line 6: services.lm.shares.desk: duplicate key"),
    ('"plain", ', '"plain", "staleness_bound": 1, ',
     "line 7: services.app.staleness_bound: 1 is not valid: only a service of kind"),
    ('"trainer"', '"coach"', "line 4: parties.rider.role: 'coach' is not valid"),
    ('"kind": "plain"', '"knd": "plain"', "line 7: services.app.knd: unknown key "
     "(value 'plain'); did you mean 'kind'?"),
    ('"kind": "plain", ', "", "line 7: services.app.kind: missing; add this key"),
    ('"plain", ', '"plain", "cross_region_bytes_per_s": {"rider": 5}, ',
     "line 7: services.app.cross_region_bytes_per_s.rider: 5 is not valid"),
    ('"shares": {"desk": 1}', '"shares": {}', "line 7: services.app.shares: {} is"),
]  # fmt: skip


def problems_of(text):
    result = parse_sheet(text)
    assert isinstance(result, Err)
    return result.err_value.problems


class TestSheetMistakes:
    @pytest.mark.parametrize(("old", "new", "problem"), MISTAKES)
    def test_problem_names_line_key_and_value(self, old, new, problem):
        """Guards against an accepted mistake, and a message at the wrong line."""
        assert old in SHEET
        assert any(
            line.startswith(problem) for line in problems_of(SHEET.replace(old, new))
        )

    def test_all_mistakes_are_reported_together(self):
        """Guards against a wrong type hiding mistakes that involve several keys."""
        text = SHEET
        for old, new, _ in (MISTAKES[0], MISTAKES[1], MISTAKES[6], MISTAKES[7]):
            text = text.replace(old, new)
        lines = [problem.split(":")[0] for problem in problems_of(text)]
        assert lines == ["line 3", "line 4", "line 6", "line 7"]

    def test_empty_services(self):
        """Guards against a sheet that removes all shares by accident."""
        start = SHEET.index('"services"')
        assert problems_of(SHEET[:start] + '"services": {}}') == [
            "line 5: services: {} is not valid: Dictionary should have at least 1 "
            "item after validation, not 0"
        ]

    def test_syntax_error_keeps_its_line_after_comments(self):
        """Guards against comment removal shifting the reported line."""
        [problem] = problems_of('/* one\n*/{ // two\n  "day": "x"\n  "y": 1}')
        assert "line 4 column 3" in problem

    @pytest.mark.parametrize("text", ["", "[" * 100_000, "[]", "7", '{"a": 1} x'])
    def test_text_that_is_no_sheet_is_rejected(self, text):
        """Guards against an exception on input that is not a sheet."""
        assert problems_of(text)

    def test_secrets_are_not_repeated(self):
        """Guards against tokens of a settings file appearing in logs."""
        text = '{"tokens": {"operators": {"ann": 123456}}, "key_secret": "short"}'
        problems = str(parse_model(text, "s", Settings).err_value)
        assert "123456" not in problems and "short'" not in problems


class TestDocumentLines:
    @given(
        st.recursive(
            st.none() | st.text() | st.integers(),
            lambda inner: (
                st.lists(inner) | st.dictionaries(st.text('/*"\\,{}]:a'), inner)
            ),
        ),
        st.sampled_from([None, 1]),
    )
    def test_any_value_round_trips(self, value, indent):
        """Guards against strings that are taken for a comment or a bracket."""
        import json

        document = read_document(json.dumps(value, indent=indent))
        assert document.value == value
        assert not document.duplicates


class TestShares:
    def test_share_is_a_fraction_of_the_sum(self):
        """Guards against weights used as fractions."""
        sheet = parse_sheet(SHEET).ok_value
        assert sheet.entitled_share("lm", "desk") == 0.75
        assert sheet.entitled_share("app", "rider") == 0
        assert sheet.entitled_share("none", "desk") == 0


class TestDiff:
    def test_diff_names_each_changed_key(self):
        """Guards against a difference that omits a default or a removal."""
        old = parse_sheet(SHEET).ok_value
        text = SHEET.replace('"rider": 1}', '"rider": 2}, "staleness_bound": 4')
        text = text.replace(
            ', "rider": {"role": "trainer"}', ', "rider": {"role": "desk"}'
        )
        text = text.replace('"shares": {"desk": 1}', '"shares": {"rider": 1}')
        changes = [
            (c.kind, c.path, c.old, c.new)
            for c in diff(old, parse_sheet(text).ok_value)
        ]
        assert changes == [
            (ChangeKind.CHANGED, "parties.rider.role", "trainer", "desk"),
            (ChangeKind.REMOVED, "services.app.shares.desk", 1, None),
            (ChangeKind.ADDED, "services.app.shares.rider", None, 1),
            (ChangeKind.CHANGED, "services.lm.shares.rider", 1, 2),
            (ChangeKind.CHANGED, "services.lm.staleness_bound", 2, 4),
        ]
        assert diff(old, old) == []
        assert {c.kind for c in diff(EMPTY_SHEET, old)} == {ChangeKind.ADDED}
