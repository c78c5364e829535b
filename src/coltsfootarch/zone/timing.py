"""Time limits of sessions and shard leases, in seconds.

They depend on each other; `docs/design.md`, section 3.1, gives the rules.
"""

from __future__ import annotations

import datetime

RENEWAL_INTERVAL = 2.0
RETRY_INTERVAL = 0.5
SESSION_VALIDITY = 6.0
POLL_INTERVAL = 2.0
REFRESH_INTERVAL = 0.25
HEARTBEAT_INTERVAL = 1.0
HEARTBEAT_PEERS = 4
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=1)

# A self-extension ends at most EXTENSION after it was made, and at most
# ACK_WINDOW + EXTENSION after a peer heard the holder.
EXTENSION = 2.0
ACK_WINDOW = 2.0
# A peer counts as known to be alive when it was heard within this time. It is
# shorter than the extension that a last acknowledgement allows, so that the
# death of the last peer does not end the lease of the survivor.
ALIVE_WINDOW = 2.0

# A host whose ticks are further apart must not extend its own session.
# PROBE_TIMEOUT is longer, and not shorter than EXTENSION, so that a host that
# left a probe unanswered because it was paused can't extend after it resumes.
CONTINUOUS_GAP = 1.5
PROBE_TIMEOUT = datetime.timedelta(seconds=2)
INDIRECT_TIMEOUT = datetime.timedelta(seconds=2.5)
PROBE_INTERVAL = 1.0
MAX_PARALLEL_PROBES = 16

# A host is observed once it was not heard for SUSPECT_AFTER. Its last heartbeat
# can have been acknowledged by a host that died since, so that probes must stay
# unanswered for longer than ACK_WINDOW + EXTENSION, here by 1 s.
SUSPECT_AFTER = 2.0
HEARD_WINDOW = 3.0
UNANSWERED = 5.0
PROBE_FRESHNESS = 6.0
TAKEOVER_AFTER = SESSION_VALIDITY + 1.0
OBSERVER_GAP = 2.0
OBSERVE_INTERVAL = 1.0

# Other hosts leave a free shard to its preferred claimant for this long.
PREFERENCE = 3.0
SURPLUS_INTERVAL = 1.0
