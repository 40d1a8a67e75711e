"""Tokens that verify that a requester receives what is sent to its address.

A datagram's source address may be forged. A large reply is therefore sent only to a
requester that returns a token sent to its address; otherwise anyone could use members
to flood a third address.

Owns a secret of this process.
"""

import hashlib

from attrs import field, frozen

__all__ = ["AddressTokens"]

# A four-byte token is guessed with one of four billion tries.
_TOKEN_BYTES = 4


@frozen
class AddressTokens:
    """Computes each address's token from ``secret``, which never leaves the process."""

    secret: bytes = field(repr=False)

    # No valid token, but as many digits as the longest, so that a request without a
    # token isn't shorter than the reply that carries one.
    NONE = 10 ** len(str(256**_TOKEN_BYTES)) - 1
    SECRET_BYTES = 16

    def of(self, address: str) -> int:
        """The token of an address (host and port)."""
        digest = hashlib.blake2b(
            address.encode(), key=self.secret, digest_size=_TOKEN_BYTES
        )
        return int.from_bytes(digest.digest())
