"""Model of the sheet: parties, services and each party's share of each service."""

import re
from collections.abc import Iterator
from datetime import date
from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, ConfigDict, Field, PlainSerializer
from result import Result

from ..settings import FileError, Mistake, StrictModel, load_model, parse_model

DEFAULT_STALENESS_BOUND = 2  # weight versions
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]*$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class StrictTypes(StrictModel):
    """Base model that rejects values of another type, such as numbers as text."""

    model_config = ConfigDict(strict=True)


def parse_day(value: Any) -> date:
    """Return a date from text such as ``2026-03-02``; reject other ISO forms."""
    if isinstance(value, str) and re.fullmatch(r"\d{4}-\d{2}-\d{2}", value):
        return date.fromisoformat(value)
    raise ValueError("give a date as text in the form YYYY-MM-DD")


Day = Annotated[date, BeforeValidator(parse_day), PlainSerializer(date.isoformat)]
Weight = Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]


class Party(StrictTypes):
    """Party that holds shares of services."""

    role: Literal["desk", "kiosk", "trainer"]


class Service(StrictTypes):
    """Service, and the weights of the parties that may use it.

    Parameters
    ----------
    kind : str
        Whether model engines or plain servers run the service.
    shares : dict
        Weight by party; a party's share is its weight divided by the sum of all.
    staleness_bound : int or None
        Maximum age of a sample in weight versions, for engine services only.
    cross_region_bytes_per_s : dict
        Budget by party for traffic to other regions.
    """

    kind: Literal["engine", "plain"]
    shares: Annotated[dict[Name, Weight], Field(min_length=1)]
    staleness_bound: Annotated[int, Field(ge=0)] | None = None
    cross_region_bytes_per_s: Annotated[
        dict[Name, Annotated[int, Field(ge=0)]], Field(default_factory=dict)
    ]

    @property
    def staleness_limit(self) -> int:
        """Staleness bound with its default applied."""
        if self.staleness_bound is None:
            return DEFAULT_STALENESS_BOUND
        return self.staleness_bound


class Sheet(StrictTypes):
    """All operator-defined configuration, which takes effect as a whole."""

    day: Day
    parties: Annotated[dict[Name, Party], Field(min_length=1)]
    services: Annotated[dict[Name, Service], Field(min_length=1)]

    def entitled_share(self, service: str, party: str) -> float:
        """Return a party's fraction of a service; 0 when it has no share."""
        service_entry = self.services.get(service)
        if service_entry is None or party not in service_entry.shares:
            return 0.0
        return service_entry.shares[party] / sum(service_entry.shares.values())

    def document(self) -> dict[str, Any]:
        """Return the sheet as a JSON object, without keys that were not set."""
        return self.model_dump(mode="json", exclude_unset=True)


# In force until a sheet is applied: no party has a share of any service.
EMPTY_SHEET = Sheet.model_construct(day=date.min, parties={}, services={})


def find_mistakes(document: Any) -> Iterator[Mistake]:
    """Yield mistakes that involve several keys, for values of any type."""
    parties = inner_object(document, "parties")
    for name, service in inner_object(document, "services").items():
        shares = inner_object(service, "shares")
        for party, weight in shares.items():
            if party not in parties:
                known = ", ".join(parties) or "none is defined"
                yield Mistake(
                    ("services", name, "shares", party),
                    weight,
                    f"{party!r} is not in parties; valid: {known}",
                )
        for party, budget in inner_object(service, "cross_region_bytes_per_s").items():
            if party not in shares:
                valid = ", ".join(shares) or "no party has a share"
                yield Mistake(
                    ("services", name, "cross_region_bytes_per_s", party),
                    budget,
                    f"{party!r} has no share of {name!r}; valid: {valid}",
                )
        if isinstance(service, dict) and service.get("kind") == "plain":
            if "staleness_bound" in service:
                yield Mistake(
                    ("services", name, "staleness_bound"),
                    service["staleness_bound"],
                    'only a service of kind "engine" has one; remove it',
                )


def inner_object(document: Any, key: str) -> dict[str, Any]:
    """Return the object at a key of an object, or an empty one if there is none."""
    value = document.get(key) if isinstance(document, dict) else None
    return value if isinstance(value, dict) else {}


def parse_sheet(text: str, path: str = "sheet") -> Result[Sheet, FileError]:
    """Parse and validate a sheet; report all of its mistakes together."""
    return parse_model(text, path, Sheet, find_mistakes)


def load_sheet(path: str) -> Result[Sheet, FileError]:
    """Read, parse and validate a sheet file."""
    return load_model(path, Sheet, find_mistakes)
