"""Times by which an entry judges whether the leader of control answers."""

# Several round trips to the leader.
REPLY_TIMEOUT_S = 0.15
# Pause after a question that the leader did not answer.
RETRY_S = 0.25
# Later than the leader counts an entry as silent, also if only its acknowledgements are lost.
OWN_PACE_AFTER_S = 3.5
