"""Tokens that show that whoever asks gets what is sent to the address that it names.

A datagram's source may be forged. Whoever would be sent much must first bring a token
that was sent to its address, or a stranger could make members flood whomever it names.

Owns a secret of this process.
"""

import hashlib

from attrs import field, frozen

__all__ = ["AddressTokens"]

# A token is a number of four bytes: a stranger guesses it once in four billion tries.
_TOKEN_BYTES = 4


@frozen
class AddressTokens:
    """Tokens by address; only this process can name them."""

    secret: bytes = field(repr=False)

    # A number as long as the longest token.
    NONE = 10 ** len(str(256**_TOKEN_BYTES)) - 1
    SECRET_BYTES = 16

    def of(self, address: str) -> int:
        """The token of an address."""
        digest = hashlib.blake2b(
            address.encode(), key=self.secret, digest_size=_TOKEN_BYTES
        )
        return int.from_bytes(digest.digest())
