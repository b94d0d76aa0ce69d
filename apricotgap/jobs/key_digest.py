"""Digests that stand for API keys in reports."""

import hashlib

__all__ = ["key_digest"]

# Enough to tell the keys of one configuration apart.
_N_DIGITS = 8


def key_digest(key: str) -> str:
    """Return the first hexadecimal digits of the SHA-256 digest of a key.

    A key that is easy to guess can be recognised by it.
    """
    # Surrogates have no UTF-8 form.
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(data).hexdigest()[:_N_DIGITS]
