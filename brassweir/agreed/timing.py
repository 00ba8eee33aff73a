"""The tuned values of the agreed log, each with its unit and its reason."""

from __future__ import annotations

BEAT = 250.0  # ms between beats of a leader: four chances to be heard within the shortest election time
ELECT = 1_000.0  # ms of silence, at least, before a voter asks for votes; twice that at most (drawn)
STALL = 1_000.0  # ms between two steps from which on a member takes itself for the one that was away
ASK_AGAIN = 150.0  # ms before voters that did not answer are asked again: rides out lost messages
RESEND = 400.0  # ms without an answer before entries go out again: above a round of 200 ms late messages
RETRY = 500.0  # ms between the first two tries to bring a proposal to a leader, doubled with each
RETRY_MOST = (
    4_000.0  # ms between two tries at most: a copy that lags must not send 64 open pieces twice a second
)
PUT_AGAIN = 1_000.0  # ms a leader keeps a repeat of a proposal out of its log, doubled with each it lets in
MOST_REPEATS = 1_024  # proposals of which a leader knows that: four copies' worth of open ones
HELLO = 300.0  # ms between two questions what the others remember
HELLO_WAIT = 5_000.0  # ms after which a quorum's memory is enough, and the rest is not waited for
FOUND = 500.0  # ms between two rounds of founding
PULL = 2_000.0  # ms between two pulls of a learner that has all: keeps 340 quiet ones cheap
PULL_AGAIN = 400.0  # ms before a pull that brought nothing is repeated
FEED_OLD = 6_000.0  # ms since the feeder heard of a leader, after which a learner looks elsewhere
UNANSWERED = 3_000.0  # ms without an answer to pulls after which another feeder is looked for: five lost
SILENT = 20_000.0  # ms that a copy which did not answer is asked after others only
CHILD = 7_000.0  # ms a feeder keeps the place of a learner that pulls no more
PULL_NEXT = 20.0  # ms between two pulls of a learner to which entries flow: a window outlasts it
BACK_AGAIN = 200.0  # ms before a follower that lacks the same entry still is sent it again: late messages
PULL_SAME = 100.0  # ms before a pull that says nothing new, nor what else is there, is answered again
GAP_WAIT = 50.0  # ms that a message may come later than one sent after it, before it is asked for again
GAP_AGAIN = 200.0  # ms before a gap that was asked for is asked for again: a round of messages 100 ms late
CHUNK_AGAIN = 500.0  # ms, at least, before chunks of a snapshot that did not come are asked for again
CHUNK_LOOK = 100.0  # ms between two looks for such chunks
CHUNK_EVERY = 50.0  # ms of an interval for which a feeder has a budget
FETCH_STILL = 3_000.0  # ms without a chunk after which a fetch is begun anew elsewhere
SENDING_KEPT = 30_000.0  # ms without a question after which a snapshot as it is sent is forgotten
READMIT = 5_000.0  # ms a voter's name must answer under another id before it is readmitted under that
READMIT_REST = 60_000.0  # ms between two readmissions of one name: two processes of one name must not flap it
CATCH_UP = 120_000.0  # ms a learner has to catch up before its admission is given up

MOST_BODY = 8_000  # bytes of a message body (peers/wire)
MOST_COMMAND = 6_000  # bytes of a command: one entry must fit into one message, with room for its head
MOST_ENTRIES = 6_800  # bytes of entries in one message, with their own heads counted
MOST_APPLIED = 16_000  # bytes of entries carried out in one step: a large command may cost 10 ms and more
ENTRY_HEAD = 64  # bytes counted for the head of an entry
CHUNK = 7_000  # bytes of a snapshot in one message
WINDOW = 16  # messages with entries out to one voter, unanswered
CHUNKS = 16  # chunks of a snapshot asked for at once: rides out losses, within a socket's buffer
CHUNK_BUDGET = 70_000  # bytes in an interval for chunks, less entries fed: 1.4 MB a second over all children
MOST_FETCHING = 64  # copies of which a feeder notes which chunks they asked for
FEEDS = 16  # messages with entries out to one learner, unanswered: 109 kB, within a socket's buffer
GAPS = 6  # gaps between entries asked for at once: a fifth lost of a window makes three
SNAP_EVERY = 4_096  # entries between two snapshots
KEEP = 1_024  # entries kept behind a snapshot, for voters that lag
MOST_OPEN = 256  # proposals of one member that wait
MOST_UNAGREED = 4_096  # entries a leader takes ahead of what is agreed
MOST_SESSIONS = 1_024  # sessions remembered: three for each of 340 copies
MOST_REMEMBERED = 64  # members remembered; at most seven vote, so this is years of replacements
MOST_VOTERS = 7
ACKS_EVERY = 8  # beats between two that tell again what each voter has: a lost one is made up for within 2 s
STALE_PULLS = 4.0  # intervals between pulls without word of a leader after which no learner is taken on
FED_BY_LEADER = 4  # learners fed by a leader: its work goes to the voters
FED = 12  # learners fed by any other copy: two steps reach 5 * 12 * 12 copies
