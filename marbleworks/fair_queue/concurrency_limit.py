"""How much may be past the door at once, by what the engines show.

It does no I/O and reads no clock. It falls quickly, by part, once answers take clearly longer than alone or
the module sheds; it grows slowly, by a step, while it binds and engines are at ease; between the two it
stays. Units are threads; a command counts as many as it runs on.
"""

from __future__ import annotations

import math
from collections import deque

# Times their time alone that commands take: below the first the window grows, above the second it falls.
EASY, BUSY = 1.1, 1.4
FALLS = 0.8  # to this part ...
FALLS_EVERY = 0.3  # ... once in so many seconds at most, for what is out then shows the old width
GROWS = 0.05  # of the first width ...
GROWS_EVERY = 0.1  # ... once in so many seconds
AFTER_FALL = 0.6  # seconds for which it does not grow again
LEAST, FIRST, MOST = 0.9, 1.5, 6.0  # threads a core, of this router's part
LEANS = 0.1  # exponent of that pull of the width, and ...
LEANS_MOST = 0.05  # ... its most at a time
SEEN = 16  # answers that are judged together ...
LOOKS = 4  # ... at every fourth


class ConcurrencyLimit:
    """cores: all that engines have, over the routers that share them."""

    def __init__(self, cores: float) -> None:
        self.cores, self.out = max(cores, 1.0), 0
        self.width, self.bound = FIRST * self.cores, math.inf  # bound: by budgets, where engines have any
        self.paces: deque[float] = deque(maxlen=SEEN)
        self.fell_at = self.grew_at = -1e9
        self.shed = self.heard = 0

    def resize(self, cores: float) -> None:
        """Engines came or went: the width follows at once."""
        cores = max(cores, 1.0)
        self.width *= cores / self.cores
        self.cores = cores

    def has_room(self, threads: int, times: float = 1.0) -> bool:
        """times: of its width, for what need not wait behind others."""
        return self.out == 0 or self.out + threads <= min(times * self.width, self.bound)

    def answered(self, pace: float, now: float) -> None:
        """pace: time taken past the door over time alone."""
        self.paces.append(pace)
        self.heard += 1
        if len(self.paces) < SEEN // 2 or self.heard % LOOKS:
            return
        middle = sorted(self.paces)[len(self.paces) // 2]
        if middle > BUSY:
            self._fall(now)
        elif (
            middle < EASY
            and self.out >= 0.8 * self.width
            and now >= max(self.fell_at + AFTER_FALL, self.grew_at + GROWS_EVERY)
        ):
            self.grew_at = now
            self.width = min(self.width + GROWS * FIRST * self.cores, MOST * self.cores)

    def was_shed(self, now: float) -> None:
        """The module gave up what we let in: as good as a late answer."""
        self.shed += 1
        self._fall(now)

    def lean(self, by: float) -> None:
        """Those who wait here are given `by` times what those who wait at other routers are: the width goes
        towards what all of them together would have."""
        pull = min(max(by**-LEANS, 1.0 - LEANS_MOST), 1.0 + LEANS_MOST)
        self.width = min(max(self.width * pull, LEAST * self.cores), MOST * self.cores)

    def _fall(self, now: float) -> None:
        if now >= self.fell_at + FALLS_EVERY:
            self.fell_at = now
            self.width = max(FALLS * self.width, LEAST * self.cores)
            self.paces.clear()
