"""Tokens whose origin can be checked afterwards.

A token depends on the prompt, the seed, the run's salt and every token before it, and
carries the salt in its high bits. A splice of two runs therefore shows: the first token
taken from a run that was not conditioned on exactly this prefix has the wrong check
bits (a false match has a chance of one in 2**20 a token).
"""

from typing import Any

import orjson
import xxhash

_CHECK_BITS = 20
_CHECK_MASK = (1 << _CHECK_BITS) - 1
SALTS = 1024


def prompt_digest(request: dict[str, Any]) -> int:
    prompt = request.get("prompt", request.get("messages"))
    return xxhash.xxh64_intdigest(orjson.dumps(prompt))


class Chain:
    """Makes the next token from all that came before."""

    def __init__(self, prompt: int, seed: int, prefix: list[int]) -> None:
        self._rolling = xxhash.xxh64(f"{prompt}/{seed}".encode())
        for token in prefix:
            self.extend(token)

    def extend(self, token: int) -> None:
        self._rolling.update(token.to_bytes(4, "little"))

    def next_token(self, salt: int) -> int:
        check = xxhash.xxh64_intdigest(
            salt.to_bytes(2, "little"), seed=self._rolling.intdigest()
        )
        return (salt << _CHECK_BITS) | (check & _CHECK_MASK)


def first_foreign_token(request: dict[str, Any], tokens: list[int]) -> int | None:
    """The position of the first token that no honest run can have made, or None."""
    chain = Chain(prompt_digest(request), request.get("seed", 0), [])
    for position, token in enumerate(tokens):
        if chain.next_token(token >> _CHECK_BITS) != token:
            return position
        chain.extend(token)
    return None


def text_of(token: int) -> str:
    return f" {token:x}"
