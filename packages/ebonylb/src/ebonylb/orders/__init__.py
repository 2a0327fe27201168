"""Weight orders: which server loads which version, and who may say so."""

from .duty import OrderDuty
from .ledger import OrderLedger
from .plan import Want, plan_orders

__all__ = ["OrderDuty", "OrderLedger", "Want", "plan_orders"]
