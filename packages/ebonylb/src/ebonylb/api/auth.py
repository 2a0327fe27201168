"""Bearer tokens of callers and operators."""

import hmac
from collections.abc import Mapping

from aiohttp import web

from .answers import error_response


def read_bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def find_token_owner(token: str, tokens: Mapping[str, str]) -> str | None:
    """Return the name whose token this is.

    All tokens are compared in constant time, so that the duration of a request
    tells nothing about them.
    """
    owner = None
    for name, owner_token in tokens.items():
        if hmac.compare_digest(token.encode(), owner_token.encode()):
            owner = name
    return owner if token else None


class Authenticator:
    """Finds the party of a caller.

    Parameters
    ----------
    parties : mapping of str to str
        Token of each party by its name.
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
