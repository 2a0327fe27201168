"""Reader of the platform's settings file, which has lines of ``a.b=value``."""

from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from ..service.site_settings import SiteSettings

# Must equal the port in deploy/system.toml, where the platform collects the metrics.
# It is outside the range of ports that the platform assigns to the system.
METRICS_PORT = 9464

# Field for each bound of the settings file, and the factor to the field's unit.
BOUND_FIELDS = {
    "DrainMs": ("drain_ms", 1),
    "GraceS": ("grace_ms", 1_000),
    "LeaseMs": ("lease_ms", 1),
    "CancelMs": ("cancel_ms", 1),
    "SettleMs": ("settle_ms", 1),
    "StatusS": ("result_retention_ms", 1_000),
    "ConfigApplyMs": ("config_apply_ms", 1),
    # Time after which a crashing request may no longer reach a server.
    "StableWindowMs": ("stable_window_ms", 1),
    "RevokeMs": ("revoke_ms", 1),
    "ReportWindowS": ("report_window_ms", 1_000),
    "UsageLateS": ("usage_late_ms", 1_000),
}
BYTES_PER_MB = 1_000_000
BOOLEANS = {"true": True, "false": False}


def parse_lines(text: str) -> dict[str, str]:
    """Return the keys and values of a settings file; skip all other lines."""
    values = {}
    for line in text.split("\n"):
        key, separator, value = line.partition("=")
        if separator:
            values[key.strip()] = value.strip()
    return values


def read_node_settings(path: str) -> Result[SiteSettings, str]:
    """Read and validate the settings; the error names the invalid or missing key."""
    try:
        values = parse_lines(Path(path).read_text())
    except (OSError, UnicodeError) as error:
        return Err(f"{path}: cannot be read: {error}")
    bounds: dict[str, Any] = {}
    for wire_name, (field_name, factor) in BOUND_FIELDS.items():
        if (text := values.get(f"Bounds.{wire_name}")) is not None:
            try:
                bounds[field_name] = float(text) * factor
            except ValueError:
                return Err(f"{path}: Bounds.{wire_name}={text!r} is not a number")
    if (text := values.get("Bounds.StrictRevoke")) is not None:
        if text not in BOOLEANS:
            return Err(f"{path}: Bounds.StrictRevoke={text!r} is not true or false")
        bounds["strict_revoke"] = BOOLEANS[text]
    required = {
        "name": "Node",
        "failure_domain": "Zone",
        "region": "Region",
        "caller_address": "Listen.Front",
        "ready_address": "Listen.Ready",
        "store_address": "Platform.Address",
    }
    fields: dict[str, Any] = {}
    for field_name, wire_name in required.items():
        if not values.get(wire_name):
            return Err(f"{path}: {wire_name} is missing; the platform has to set it")
        fields[field_name] = values[wire_name]
    fields["regions"] = {
        key.removeprefix("Zones."): region
        for key, region in values.items()
        if key.startswith("Zones.")
    }
    if values.get("Ip"):
        fields["metrics_address"] = f"{values['Ip']}:{METRICS_PORT}"
        first_port = values.get("PortRange", "").partition(",")[0]
        if first_port.isdecimal():
            fields["relay_address"] = f"{values['Ip']}:{first_port}"
    if (text := values.get("Platform.RowBytes")) is not None:
        try:
            fields["row_bytes"] = int(text)
        except ValueError:
            return Err(f"{path}: Platform.RowBytes={text!r} is not a whole number")
    if (text := values.get("Limits.MemoryMb")) is not None:
        try:
            fields["memory_bytes"] = max(0, int(float(text) * BYTES_PER_MB))
        except (ValueError, OverflowError):
            return Err(f"{path}: Limits.MemoryMb={text!r} is not a number")
    fields["bounds"] = bounds
    fields["control_plane_address"] = values.get("Cloud.Address", "")
    duties = values.get("Cloud.Duties", "").split(",")
    fields["duties"] = tuple(duty.strip() for duty in duties if duty.strip())
    if (text := values.get("Cloud.DutyPerS")) is not None:
        try:
            fields["duty_calls_per_s"] = float(text)
        except ValueError:
            return Err(f"{path}: Cloud.DutyPerS={text!r} is not a number")
    try:
        return Ok(msgspec.convert(fields, SiteSettings))
    except msgspec.ValidationError as error:
        return Err(f"{path}: {error}")
