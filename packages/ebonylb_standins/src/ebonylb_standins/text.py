"""Text that the engine stand-in generates as a function of prompt and seed.

A checker can compute the complete text of a request without knowing which servers
and weight versions generated it. Each token is a word followed by a space.
"""

import re

import xxhash

# Tokens of a text whose prompt has no ``len=N``: minimum and number of lengths.
MIN_NATURAL_TOKENS, NATURAL_TOKENS_RANGE = 16, 49


def hash64(text: str) -> int:
    """Return a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())


def natural_length(prompt: str, seed: int) -> int:
    """Return the tokens of a complete text, which ``len=N`` in the prompt sets."""
    length_option = re.search(r"\blen=(\d+)\b", prompt)
    if length_option:
        return int(length_option.group(1))
    return MIN_NATURAL_TOKENS + hash64(f"length {seed} {prompt}") % NATURAL_TOKENS_RANGE


def token(prompt_digest: int, seed: int, position: int) -> str:
    """Return the token at a position of the text."""
    return f"{hash64(f'{prompt_digest} {seed} {position}') % 65536:x} "


def hash_prompt(prompt: str) -> int:
    """Return the digest of a prompt that determines its tokens."""
    return hash64(prompt)


def count_tokens(text: str) -> int:
    """Return the number of tokens in generated text."""
    return text.count(" ")


def complete_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the complete text of a generation."""
    length = min(natural_length(prompt, seed), max_tokens)
    prompt_digest = hash_prompt(prompt)
    return "".join(token(prompt_digest, seed, position) for position in range(length))
