"""Fencing tokens that workers compare, made from the owner's and the incarnation of the worker."""

from __future__ import annotations

TOKENS_PER_EPOCH = 1_000_000
"""Number of tokens of one owner for each worker; it limits the restarts that are told apart."""


def make_fencing_token(epoch: int, generation: int) -> int:
    """Return the token of calls to a worker.

    A worker that keeps its instance ID across a restart refuses the calls that were meant for
    earlier incarnations as soon as it has seen the token of the present one.

    Parameters
    ----------
    epoch
        Fencing token of the owner.
    generation
        Number of incarnations of the worker that this owner has known before the present one.
    """
    return epoch * TOKENS_PER_EPOCH + min(generation, TOKENS_PER_EPOCH - 1)
