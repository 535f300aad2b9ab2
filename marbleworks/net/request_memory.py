"""Memory for what clients send and have not read: incomplete messages, open requests, and unread results.

Each connection is guaranteed a part, so that it can have a request of usual size whatever the others do.
What it takes beyond that is shared by all, and goes to whoever asks first. Nothing waits for memory: a
request that gets none is rejected at once. A result is kept in any case, and counts.
"""

from __future__ import annotations


class MemoryPool:
    """Memory that the accounts of all connections share.

    Args:
        guaranteed_bytes: Bytes that each open account may hold.
        max_accounts: Number of accounts that are open at a time, at most.
        shared_bytes: Bytes that all accounts may hold together beyond that.

    Attributes:
        guaranteed_bytes: As given.
        capacity_bytes: Bytes that all accounts may hold together.
        used_bytes: Bytes that all accounts hold.
        shared_used_bytes: Those of them that are beyond what is guaranteed to their account.
    """

    def __init__(self, guaranteed_bytes: int, max_accounts: int, shared_bytes: int) -> None:
        self.guaranteed_bytes = guaranteed_bytes
        self.capacity_bytes = guaranteed_bytes * max_accounts + shared_bytes
        self.used_bytes = 0
        self.shared_used_bytes = 0
        self._shared_capacity_bytes = shared_bytes

    def has_shared(self, size_bytes: int) -> bool:
        """Whether so many bytes beyond what is guaranteed to an account are free."""
        return self.shared_used_bytes + size_bytes <= self._shared_capacity_bytes


class MemoryAccount:
    """What one connection holds of a pool.

    Attributes:
        held_bytes: Bytes that it holds.
    """

    def __init__(self, pool: MemoryPool) -> None:
        self._pool = pool
        self._guaranteed_bytes = pool.guaranteed_bytes
        self.held_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Takes so many bytes; returns False, and takes none, if they are not to be had."""
        pool = self._pool
        held_bytes = self.held_bytes + size_bytes
        shared_bytes = self._shared_part(held_bytes) - self._shared_part(self.held_bytes)
        if shared_bytes and not pool.has_shared(shared_bytes):
            return False
        if pool.used_bytes + size_bytes > pool.capacity_bytes:
            return False
        self._set(held_bytes)
        return True

    def take(self, size_bytes: int) -> None:
        """Takes so many bytes even if they are not to be had; until they are back, others get none."""
        self._set(self.held_bytes + size_bytes)

    def release(self, size_bytes: int) -> None:
        """Gives so many bytes back."""
        self._set(self.held_bytes - size_bytes)

    def close(self) -> None:
        """Ends the guarantee; what the account still holds counts as shared until it is given back."""
        shared_before = self._shared_part(self.held_bytes)
        self._guaranteed_bytes = 0
        self._pool.shared_used_bytes += self._shared_part(self.held_bytes) - shared_before

    def _set(self, held_bytes: int) -> None:
        pool = self._pool
        pool.used_bytes += held_bytes - self.held_bytes
        pool.shared_used_bytes += self._shared_part(held_bytes) - self._shared_part(self.held_bytes)
        self.held_bytes = held_bytes

    def _shared_part(self, held_bytes: int) -> int:
        return max(held_bytes - self._guaranteed_bytes, 0)


class MemoryReservation:
    """Bytes of an account for one request, which are given back once.

    Args:
        account: The account.
        size_bytes: Bytes that have been reserved.
    """

    def __init__(self, account: MemoryAccount, size_bytes: int) -> None:
        self._account = account
        self._size_bytes = size_bytes

    def release(self) -> None:
        """Gives the bytes back; has no effect the second time."""
        size_bytes = self._size_bytes
        self._size_bytes = 0
        self._account.release(size_bytes)
