"""Weight orders: which server loads which version, and which entry VM may order it."""

from .controller import OrderController
from .leases import OrderLeases
from .plan import PlannedLoad, plan_orders

__all__ = ["OrderController", "OrderLeases", "PlannedLoad", "plan_orders"]
