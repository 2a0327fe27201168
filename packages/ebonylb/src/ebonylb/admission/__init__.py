"""Admission of plain requests while servers refuse work for lack of room."""

from .fair_admission import FairAdmission, Ticket
from .load_rows import LoadRows
from .model import OtherEntryVms, RoomObserver, ToldLoad

__all__ = [
    "FairAdmission",
    "LoadRows",
    "OtherEntryVms",
    "RoomObserver",
    "Ticket",
    "ToldLoad",
]
