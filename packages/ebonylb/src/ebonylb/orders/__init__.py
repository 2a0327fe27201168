"""Weight orders: which server loads which version, and who may say so."""

from .duty import OrderController
from .ledger import OrderLeases
from .plan import PlannedLoad, plan_orders

__all__ = ["OrderController", "OrderLeases", "PlannedLoad", "plan_orders"]
