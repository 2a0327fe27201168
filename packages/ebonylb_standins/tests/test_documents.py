import json
import re
import typing
from pathlib import Path

import pytest
from pydantic import BaseModel

from ebonyctl.cli import Ebonyctl
from ebonylb.configuration import parse_sheet
from ebonylb.settings import Settings, load_settings

ROOT = Path(__file__).parents[3]
ROW = re.compile(r"^\| `([a-z_.]+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$", re.M)


def default_by_key(model, prefix=""):
    """Return the defaults of a model by dotted key, nested models included."""
    defaults = {}
    for name, field in model.model_fields.items():
        path = prefix + name
        annotations = [field.annotation, *typing.get_args(field.annotation)]
        models = [
            kind
            for kind in annotations
            if isinstance(kind, type) and issubclass(kind, BaseModel)
        ]
        nested = default_by_key(models[0], path + ".") if models else {}
        default = "required" if field.is_required() else field.default
        if not models or default is None or isinstance(default, list):
            defaults[path] = default
        defaults |= nested
    return defaults


def format_default(default):
    if default == "required":
        return default
    return "none" if default is None else f"`{json.dumps(default)}`"


class TestSettingsPage:
    def test_page_names_every_key_with_its_default(self):
        """Guards against a page with missing or wrong keys and defaults."""
        page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
        rows = {key: default.strip() for key, default, _, _ in ROW.findall(page)}
        expected = {
            key: format_default(value)
            for key, value in default_by_key(Settings).items()
        }
        assert rows == expected

    def test_example_is_valid(self):
        """Guards against an example that an entry VM refuses."""
        path = ROOT / "examples" / "settings.jsonc"
        assert load_settings(str(path)).ok_value.name == "entry-gorge-north-1"


class TestPages:
    def test_transcript_has_every_command(self):
        """Guards against an operators' page that lacks commands of `ebonyctl`."""
        page = (ROOT / "docs" / "operating.md").read_text(encoding="utf-8")
        shown_commands = set(re.findall(r"^\$ ebonyctl ([a-z]+)", page, re.M))
        commands = typing.get_args(typing.get_type_hints(Ebonyctl)["command"])
        assert shown_commands == {kind.__name__.lower() for kind in commands}

    def test_log_lines_of_the_page_exist(self):
        """Guards against documented log lines that the code never writes."""
        page = (ROOT / "docs" / "operating.md").read_text(encoding="utf-8")
        table = page.split("## Log lines")[1].split("## Gauges")[0]
        cells = [
            row.split("|")[1] for row in table.splitlines() if row.startswith("| `")
        ]
        code = " ".join(
            path.read_text(encoding="utf-8")
            for path in (ROOT / "packages" / "ebonylb" / "src").rglob("*.py")
        )
        code = re.sub(r"%[.0-9]*[sdf]", "*", code)
        for message in re.findall(r"`([^`]+)`", " ".join(cells)):
            pattern = re.sub(r"\b(?!VM\b)[A-Z]+\b", "*", message)
            assert f'"{pattern}' in code, message

    def test_links_of_the_pages_exist(self):
        """Guards against links to pages that do not exist."""
        for page in (ROOT / "README.md", *(ROOT / "docs").glob("*.md")):
            for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text("utf-8")):
                assert (page.parent / target).exists(), (page.name, target)


class TestExampleSheets:
    @pytest.mark.parametrize("name", ["morning_sheet", "song_huong_sheet"])
    def test_sheet_is_valid(self, name):
        """Guards against example sheets that `ebonyctl apply` refuses."""
        text = (ROOT / "examples" / f"{name}.jsonc").read_text(encoding="utf-8")
        assert parse_sheet(text, name).ok_value.services
