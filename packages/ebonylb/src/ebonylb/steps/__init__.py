"""Steps of trainers: sessions, staleness bounds and delivery of samples."""

from .declaration import StepDeclaration, encode_acknowledged
from .holder import HolderOptions, StepHolder
from .lines import End, Failed, Line, Moved, Sample, Segment, encode_line
from .reach import StepPeers
from .service import StepService

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
