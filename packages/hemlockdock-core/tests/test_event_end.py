"""Test how the ends of events are found in a stream that arrives in parts."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockdock_core.http.event_end import EventEndTracker

EVENTS = st.lists(
    st.sampled_from([b"id: 1\ndata: x\n\n", b"data: y\r\n\r\n", b": comment\n\n", b"\n"])
)
TAILS = st.sampled_from([b"", b"\n", b"\r\n", b"d", b"data: z\n", b"data: z\r\n\r"])


class EventEndTrackerTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(EVENTS, TAILS, st.integers(1, 7))
    def test_the_parts_in_which_a_stream_arrives_make_no_difference(self, events, tail, size):
        tracker = EventEndTracker()
        data = b"".join(events) + tail
        for start in range(0, len(data), size):
            tracker.feed(data[start : start + size])
        self.assertEqual(tracker.inside_event, bool(tail.strip(b"\r\n")))
