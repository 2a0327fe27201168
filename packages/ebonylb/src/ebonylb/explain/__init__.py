"""Explanation of where a request or a batch item would be placed now, and why."""

from .explainer import Explainer
from .items import ItemExplainer
from .model import Candidate, Explanation, Question, Verdict
from .requests import RequestExplainer

__all__ = [
    "Candidate",
    "Explainer",
    "Explanation",
    "ItemExplainer",
    "Question",
    "RequestExplainer",
    "Verdict",
]
