"""Settings of an entry VM process."""

from .load import (
    FileError,
    Mistake,
    load_model,
    load_settings,
    parse_model,
    read_text,
)
from .model import (
    CurveKeyPair,
    Limits,
    PeerSeed,
    PlatformEndpoints,
    Policy,
    Settings,
    StrictModel,
    Timing,
    Tls,
    Tokens,
)

__all__ = [
    "CurveKeyPair",
    "FileError",
    "Limits",
    "Mistake",
    "PeerSeed",
    "PlatformEndpoints",
    "Policy",
    "Settings",
    "StrictModel",
    "Timing",
    "Tls",
    "Tokens",
    "load_model",
    "load_settings",
    "parse_model",
    "read_text",
]
