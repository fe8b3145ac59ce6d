"""The platform's names stay in its folder."""

import re
from pathlib import Path

import hillfield

ROOT = Path(hillfield.__file__).parent
# Names of the platform's pages that no other protocol here has.
NAMES = re.compile(
    'X-Deadline(?!-Ms)|X-Target-Instance|X-Caller-Service|X-Server-Signature'
    '|X-Server-Load|Server-Limit|Server-Leaving|X-Not-Executed|X-Instance-Id|/kv-|expectedRev|hasMore'
    '|currentRev|HILLFIELD_BOOT|appAddr|heartbeatS|warmupLeftS|trafficSplit'
    '|X-Tenant|ratePerS|apiKeys|targetLatencyS|timeoutS|maxAttempts|op/config|internalPorts|waitMs'
)


def test_no_name_of_the_platform_stands_outside_its_folder():
    elsewhere = (
        path
        for path in ROOT.rglob('*.py')
        if not {'platform', 'tests'} & set(path.parts)
    )
    found = [
        str(path) for path in elsewhere if NAMES.search(path.read_text('utf-8'))
    ]
    assert not found


def test_the_folder_is_small():
    files = (ROOT / 'platform').glob('*.py')
    texts = [path.read_text('utf-8') for path in files]
    assert sum(text.count('\n') for text in texts) < 1200
