"""Steps of trainers: sessions, staleness bounds and delivery of samples."""

from .declaration import StepDeclaration, encode_acknowledged
from .holder import HolderOptions, StepHolder
from .peer_interface import StepPeers
from .service import StepService
from .stream_lines import End, Failed, Line, Moved, Sample, Segment, encode_line

__all__ = [
    "End",
    "Failed",
    "HolderOptions",
    "Line",
    "Moved",
    "Sample",
    "Segment",
    "StepDeclaration",
    "StepHolder",
    "StepPeers",
    "StepService",
    "encode_acknowledged",
    "encode_line",
]
