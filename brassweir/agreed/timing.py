"""The tuned values of the agreed log, each with its unit and its reason."""

from __future__ import annotations

HEARTBEAT_MS = 250.0
ELECTION_MS = 1_000.0  # ms of silence, at least, before a voter asks for votes; twice that at most (drawn)
STALL_MS = 1_000.0  # ms between two steps from which on a member takes itself for the one that was away
VOTE_RETRY_MS = 150.0  # ms before voters that did not answer are asked again: rides out lost messages
RESEND_MS = 400.0  # ms without an answer before entries go out again: above a round of 200 ms late messages
RETRY_MS = 500.0  # ms between the first two tries to bring a proposal to a leader, doubled with each
MAX_RETRY_MS = (
    4_000.0  # ms between two tries at most: a copy that lags must not send 64 open pieces twice a second
)
DUPLICATE_HOLD_MS = 1_000.0
MAX_DUPLICATE_FILTERS = 1_024  # proposals of which a leader knows that: four copies' worth of open ones
IDENTITY_CHECK_MS = 300.0  # ms between two questions what the others remember
IDENTITY_CHECK_WAIT_MS = 5_000.0  # ms after which a quorum's memory is enough, and the rest is not waited for
FOUNDING_INTERVAL_MS = 500.0  # ms between two rounds of founding
PULL_INTERVAL_MS = 2_000.0  # ms between two pulls of a learner that has all: keeps 340 quiet ones cheap
PULL_RETRY_MS = 400.0  # ms before a pull that brought nothing is repeated
FEED_STALE_MS = 6_000.0  # ms since the feeder heard of a leader, after which a learner looks elsewhere
FEEDER_TIMEOUT_MS = 3_000.0
UNRESPONSIVE_MS = 20_000.0  # ms that a copy which did not answer is asked after others only
CHILD_EXPIRY_MS = 7_000.0  # ms a feeder keeps the place of a learner that pulls no more
MIN_PULL_SPACING_MS = 20.0  # ms between two pulls of a learner to which entries flow: a window outlasts it
STEP_BACK_SPACING_MS = 200.0
DUPLICATE_PULL_MS = 100.0  # ms before a pull that says nothing new, nor what else is there, is answered again
GAP_WAIT_MS = 50.0  # ms that a message may come later than one sent after it, before it is asked for again
GAP_RETRY_MS = 200.0  # ms before a gap that was asked for is asked for again: a round of messages 100 ms late
CHUNK_RETRY_MS = 500.0  # ms, at least, before chunks of a snapshot that did not come are asked for again
CHUNK_CHECK_MS = 100.0  # ms between two looks for such chunks
CHUNK_INTERVAL_MS = 50.0  # ms of an interval for which a feeder has a budget
FETCH_STALLED_MS = 3_000.0  # ms without a chunk after which a fetch is begun anew elsewhere
OUTGOING_SNAPSHOT_TTL_MS = 30_000.0  # ms without a question after which a snapshot as it is sent is forgotten
READMISSION_DELAY_MS = 5_000.0
READMISSION_SPACING_MS = 60_000.0
CATCH_UP_MS = 120_000.0  # ms a learner has to catch up before its admission is given up

MAX_BODY_BYTES = 8_000  # bytes of a message body (peers/envelope)
MAX_COMMAND_BYTES = 6_000  # bytes of a command: one entry must fit into one message, with room for its head
MAX_ENTRIES_BYTES = 6_800  # bytes of entries in one message, with their own heads counted
MAX_APPLIED_BYTES = 16_000
ENTRY_HEAD_BYTES = 64  # bytes counted for the head of an entry
CHUNK_BYTES = 7_000  # bytes of a snapshot in one message
APPEND_WINDOW = 16  # messages with entries out to one voter, unanswered
CHUNK_WINDOW = 16  # chunks of a snapshot asked for at once: rides out losses, within a socket's buffer
CHUNK_BUDGET_BYTES = 70_000
MAX_FETCHING_COPIES = 64  # copies of which a feeder notes which chunks they asked for
FEED_WINDOW = 16  # messages with entries out to one learner, unanswered: 109 kB, within a socket's buffer
MAX_GAPS = 6  # gaps between entries asked for at once: a fifth lost of a window makes three
SNAPSHOT_ENTRIES = 4_096  # entries between two snapshots
KEPT_ENTRIES = 1_024  # entries kept behind a snapshot, for voters that lag
MAX_PROPOSALS = 256  # proposals of one member that wait
MAX_UNCOMMITTED = 4_096  # entries a leader takes ahead of what is agreed
MAX_SESSIONS = 1_024  # sessions remembered: three for each of 340 copies
MAX_MEMBER_RECORDS = 64  # members remembered; at most seven vote, so this is years of replacements
MAX_VOTERS = 7
ACKS_EVERY_BEATS = 8
MAX_STALE_PULLS = 4.0  # intervals between pulls without word of a leader after which no learner is taken on
MAX_CHILDREN_OF_LEADER = 4  # learners fed by a leader: its work goes to the voters
MAX_CHILDREN = 12  # learners fed by any other copy: two steps reach 5 * 12 * 12 copies
