"""Text that the engine stand-in generates, a function of prompt and seed only.

A checker can compute the whole answer to a request by itself, whichever servers and
weight versions took part in it. Each token is a word with a blank after it.
"""

import re

import xxhash

# Tokens of an answer whose prompt names no length.
MIN_NATURAL_TOKENS, NATURAL_TOKENS_RANGE = 16, 49


def hash64(text: str) -> int:
    """Return a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())


def natural_length(prompt: str, seed: int) -> int:
    """Return the tokens of a whole answer; ``len=N`` in the prompt sets them."""
    length_option = re.search(r"\blen=(\d+)\b", prompt)
    if length_option:
        return int(length_option.group(1))
    return MIN_NATURAL_TOKENS + hash64(f"length {seed} {prompt}") % NATURAL_TOKENS_RANGE


def token(prompt_digest: int, seed: int, position: int) -> str:
    """Return one token of an answer."""
    return f"{hash64(f'{prompt_digest} {seed} {position}') % 65536:x} "


def hash_prompt(prompt: str) -> int:
    """Return the number that stands for a prompt in its tokens."""
    return hash64(prompt)


def count_tokens(text: str) -> int:
    """Return the tokens of generated text."""
    return text.count(" ")


def complete_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the text of a whole generation."""
    length = min(natural_length(prompt, seed), max_tokens)
    prompt_digest = hash_prompt(prompt)
    return "".join(token(prompt_digest, seed, position) for position in range(length))
