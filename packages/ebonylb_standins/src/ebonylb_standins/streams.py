"""Reader that checks streamed generations."""

import asyncio
import json

import aiohttp

from .text import complete_text


class DemoError(Exception):
    """A part of the demonstration did not behave as specified."""


def require(condition: object, message: str) -> None:
    """Raise `DemoError` if a condition is false."""
    if not condition:
        raise DemoError(message)


class StreamReader:
    """Reads and checks a streamed generation.

    Parameters
    ----------
    url : str
        Base URL of the entry VM.
    token : str
        Bearer token of the party.
    body : dict
        Body of ``POST /v1/generate``.
    """

    def __init__(self, url: str, token: str, body: dict) -> None:
        self.url = url
        self.token = token
        self.body = body
        self.text = ""
        self.last_line: dict = {}
        self.started = asyncio.Event()

    async def read(self, session: aiohttp.ClientSession) -> None:
        """Read the stream to its end.

        Raises
        ------
        DemoError
            The stream broke or its text is incomplete.
        """
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            async with session.post(
                self.url + "/v1/generate", json=self.body, headers=headers
            ) as response:
                async for raw in response.content:
                    self.last_line = json.loads(raw)
                    self.text += self.last_line.get("text", "")
                    self.started.set()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            message = f"stream broke after {len(self.text)} bytes: {error!r}"
            raise DemoError(message) from error
        expected = complete_text(
            self.body["prompt"], self.body["seed"], self.body["max_tokens"]
        )
        require(
            self.last_line.get("type") == "end", f"no end line, but {self.last_line}"
        )
        require(
            self.text == expected, f"{len(self.text)} of {len(expected)} bytes received"
        )
