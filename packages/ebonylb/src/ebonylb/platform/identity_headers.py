"""Headers that tell servers the customer of a request, in place of the caller's key."""

from collections.abc import Iterable

from ..interfaces.server_client import Headers
from . import wire_names


def customer_headers(customer: str | None) -> Headers:
    """Return the headers that name a customer; none if there is no customer."""
    return ((wire_names.CUSTOMER, customer),) if customer else ()


def replace_identity(
    headers: Iterable[tuple[str, str]], customer: str | None
) -> Headers:
    """Return the headers for servers.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers as the caller sent them.
    customer : str or None
        Customer of the caller; empty for a caller without a key. None where no
        customers are configured, so that the headers stay as they are.
    """
    if customer is None:
        return tuple((str(name), value) for name, value in headers)
    kept = tuple(
        (str(name), value)
        for name, value in headers
        if name.lower() not in wire_names.IDENTITY_HEADERS
    )
    return kept + customer_headers(customer)
