"""Authentication of callers by bearer tokens."""

import hmac
from collections.abc import Mapping

from aiohttp import web

from .http_messages import error_response


def read_bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty string if it has none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def find_token_owner(token: str, tokens: Mapping[str, str]) -> str | None:
    """Return the name that a token belongs to, or None if it is unknown.

    All tokens are compared, each in constant time, so that the duration of a request
    reveals nothing about them.
    """
    owner = None
    for name, owner_token in tokens.items():
        if hmac.compare_digest(token.encode(), owner_token.encode()):
            owner = name
    return owner if token else None


class Authenticator:
    """Identifies the party of a caller by its bearer token.

    Parameters
    ----------
    parties : mapping of str to str
        Bearer token by name of the party.
    """

    def __init__(self, parties: Mapping[str, str]) -> None:
        self.parties = parties

    def find_party(self, request: web.Request) -> str:
        """Return the party of a request.

        Raises
        ------
        aiohttp.web.HTTPUnauthorized
            The token is missing or unknown.
        """
        party = find_token_owner(read_bearer_token(request), self.parties)
        if party is None:
            raise error_response(
                web.HTTPUnauthorized,
                "unauthorised",
                "send the party's token in the header Authorization: Bearer",
            )
        return party
