"""Time limits of sessions and shard leases, in seconds.

The values depend on each other; section 3.1 of `docs/design.md` has the rules.
"""

from __future__ import annotations

import datetime

RENEWAL_INTERVAL = 2.0
RENEWAL_RETRY_INTERVAL = 0.5
SESSION_VALIDITY = 6.0
POLL_INTERVAL = 2.0
REFRESH_INTERVAL = 0.25
HEARTBEAT_INTERVAL = 1.0
HEARTBEAT_PEERS = 4
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=1)

# A self-extension ends at most SELF_EXTENSION after it was made, and at most
# ACK_WINDOW + SELF_EXTENSION after a peer received a message of the holder.
SELF_EXTENSION = 2.0
ACK_WINDOW = 2.0
# A peer is known to be alive if a message of it was received within this time.
# It is shorter than the extension that the last acknowledgement allows, so that
# the death of the last peer does not end the leases of the surviving host.
ALIVE_WINDOW = 2.0

# A host whose ticks are further apart must not extend its own session.
# PROBE_TIMEOUT is longer, and at least SELF_EXTENSION, so that a host that left
# a probe unanswered because it was paused can't extend its session after it
# resumes.
MAX_TICK_GAP = 1.5
PROBE_TIMEOUT = datetime.timedelta(seconds=2)
INDIRECT_PROBE_TIMEOUT = datetime.timedelta(seconds=2.5)
PROBE_INTERVAL = 1.0
MAX_PARALLEL_PROBES = 16

# A host is suspected SUSPECT_AFTER after the last contact with it. Its last
# heartbeat may have been acknowledged by a host that has died since, so its
# probes must stay unanswered for longer than ACK_WINDOW + SELF_EXTENSION, by a
# margin of 1 s.
SUSPECT_AFTER = 2.0
CONTACT_WINDOW = 3.0
MIN_UNANSWERED_TIME = 5.0
MAX_PROBE_AGE = 6.0
TAKEOVER_AFTER = SESSION_VALIDITY + 1.0
MAX_OBSERVER_GAP = 2.0
OBSERVE_INTERVAL = 1.0

# For this long only the host that the plan prefers claims a free shard.
PREFERRED_CLAIM_DELAY = 3.0
SURPLUS_RELEASE_INTERVAL = 1.0
