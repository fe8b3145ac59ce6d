"""The size to design for, and the bounds that hold at it."""

from typing import Final

NODES: Final = 600
TARGETS: Final = 7900
ACCOUNTS: Final = 59000
DOMAINS: Final = 8
REQUESTS: Final = 73000
# A day's.
CHANGES: Final = 1400
RESTARTS: Final = 810
FAILURES: Final = 22
DAY: Final = 86400
MOST_PROCESSOR: Final = 2.9
MOST_MEMORY: Final = 32.0
MOST_BYTES: Final = 5000.0
MOST_WRITES: Final = 200.0
MOST_READS: Final = 1000.0
