"""Loading and validation of files in JSON with comments."""

import difflib
import typing
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from .document import Document, KeyPath, read_document
from .model import Settings

Model = TypeVar("Model", bound=BaseModel)

MAX_VALUE_LENGTH = 60  # characters of an invalid value quoted in a message
SECRET_KEYS = frozenset({"curve", "tokens", "key_secret"})


class FileError(Exception):
    """Raised or returned for a file that cannot be read or is not valid.

    Parameters
    ----------
    path : str
        Path of the file.
    problems : list of str
        One entry for each mistake: line or key, value, and what would be valid.
    """

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("\n".join(f"{path}: {problem}" for problem in problems))
        self.path = path
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Mistake:
    """Mistake found by a check across keys: path, value, and what is valid."""

    path: KeyPath
    value: Any
    advice: str


# Yields mistakes that involve several keys. A check must accept values of any type: it
# also runs when single keys are not valid, so that all mistakes are reported at once.
CrossKeyCheck = Callable[[Any], Iterator[Mistake]]


def load_model(
    path: str, model: type[Model], check: CrossKeyCheck | None = None
) -> Result[Model, FileError]:
    """Read a file in JSON with comments and validate it against a model."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return parse_model(text.ok_value, path, model, check)


def read_text(path: str) -> Result[str, FileError]:
    """Read a UTF-8 text file."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return Err(FileError(path, [f"cannot be read: {error.strerror}"]))
    except UnicodeDecodeError as error:
        return Err(FileError(path, [f"is not UTF-8 text: {error.reason}"]))


def parse_model(
    text: str, path: str, model: type[Model], check: CrossKeyCheck | None = None
) -> Result[Model, FileError]:
    """Parse and validate text; the error lists every mistake with its line."""
    try:
        document = read_document(text)
    except ValueError as error:
        return Err(FileError(path, [f"not valid JSON with comments: {error}"]))
    problems = [
        (
            item.line,
            f"{format_path(item.path)}: duplicate key, first on line "
            f"{item.first_line}; remove one of the two",
        )
        for item in document.duplicates
    ]
    for mistake in check(document.value) if check else ():
        value_text = format_value(mistake.path, mistake.value)
        problems.append(
            (
                document.find_line(mistake.path),
                f"{format_path(mistake.path)}: {value_text} is not valid: "
                f"{mistake.advice}",
            )
        )
    validated = None
    try:
        validated = model.model_validate(document.value)
    except ValidationError as error:
        problems += [describe_error(document, item, model) for item in error.errors()]
    if problems or validated is None:
        lines = [f"line {line}: {text}" for line, text in sorted(problems)]
        return Err(FileError(path, lines))
    return Ok(validated)


def describe_error(
    document: Document, item: Any, model: type[BaseModel]
) -> tuple[int, str]:
    """Return the line of a validation error and a message with key, value and fix."""
    location: KeyPath = tuple(part for part in item["loc"] if part != "[key]")
    line, key = document.find_line(location), format_path(location)
    if item["type"] == "extra_forbidden":
        value_text = format_value(location, item["input"])
        names = list_valid_keys(model, location[:-1])
        close_matches = difflib.get_close_matches(str(location[-1]), names, n=1)
        fix = (
            f"did you mean {close_matches[0]!r}?"
            if close_matches
            else "remove it or correct its name;"
        )
        return line, f"{key}: unknown key (value {value_text}); {fix} valid: {names}"
    if item["type"] == "missing":
        return line, f"{key}: missing; add this key"
    advice = item["msg"].removeprefix("Value error, ")
    return (
        line,
        f"{key}: {format_value(location, item['input'])} is not valid: {advice}",
    )


def format_path(path: KeyPath) -> str:
    """Return a key path as dotted text."""
    return ".".join(str(part) for part in path) or "(whole file)"


def format_value(path: KeyPath, value: Any) -> str:
    """Return the text of a value for a message, truncated, or hidden if secret."""
    if SECRET_KEYS.intersection(path):
        return "(hidden value)"
    text = repr(value)
    return text if len(text) <= MAX_VALUE_LENGTH else text[:MAX_VALUE_LENGTH] + "..."


def list_valid_keys(model: type[BaseModel], path: KeyPath) -> list[str]:
    """Return the names of the keys that a model allows at a path."""
    annotation: Any = model
    for part in path:
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            annotation = annotation.model_fields[str(part)].annotation
        else:
            # The element type of a list or the value type of a dict.
            annotation = typing.get_args(annotation)[-1]
        non_none_types = [
            inner for inner in typing.get_args(annotation) if inner is not type(None)
        ]
        if len(non_none_types) == 1 and typing.get_origin(annotation) is not list:
            annotation = non_none_types[0]  # X | None
    return list(annotation.model_fields)


def load_settings(path: str) -> Result[Settings, FileError]:
    """Load and validate the settings file of an entry VM."""
    return load_model(path, Settings)
