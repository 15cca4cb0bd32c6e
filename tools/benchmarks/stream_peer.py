"""Simulate the agent and the callers of an entry that relays streams.

Run in a process of its own, so that its processor time isn't counted as the entry's.
"""

import sys

import treq
from twisted.internet import reactor
from twisted.internet.defer import DeferredList
from twisted.internet.task import LoopingCall

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, AnswerChunk, AnswerEnd, AnswerHead, Dispatch

TOKENS_PER_STREAM = 400
STREAMS = 100
TOKEN_INTERVAL_S = 0.01
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"abcdef "}}]}\n\n'
BODY = b'{"model": "m", "stream": true}'


class StreamAgent:
    """Agent that answers each dispatch with a stream, one token per interval, as engines do."""

    def __init__(self):
        self.transport = MessageTransport(
            reactor, "agent-1", 1, NODE_CODEC, "tcp://127.0.0.1:0", self._handle_frame
        )
        self._progress_by_ids = {}
        self._token_timer = LoopingCall(self._send_tokens)
        self._token_timer.start(TOKEN_INTERVAL_S)

    def _handle_frame(self, frame):
        if isinstance(frame.body, Dispatch):
            ids = (frame.body.request_id, frame.body.attempt)
            self.transport.send(frame.reply_to, AnswerHead(*ids, 200, "text/event-stream"))
            self._progress_by_ids[ids] = (frame.reply_to, 0)

    def _send_tokens(self):
        for ids, (address, sent) in list(self._progress_by_ids.items()):
            offset = sent * len(TOKEN)
            if sent == TOKENS_PER_STREAM:
                del self._progress_by_ids[ids]
                self.transport.send(address, AnswerEnd(*ids, offset))
                continue
            self._progress_by_ids[ids] = (address, sent + 1)
            self.transport.send(address, AnswerChunk(*ids, offset, TOKEN))


def read_streams(url):
    """Read all streams concurrently, and return a Deferred with their bodies."""
    calls = []
    for _ in range(STREAMS):
        call = treq.post(url, BODY, persistent=False, unbuffered=True)
        call.addCallback(lambda response: response.content())
        calls.append(call)
    return DeferredList(calls, fireOnOneErrback=True)


def main():
    """Print the agent's address, read streams from the URL on standard input, and count tokens."""
    agent = StreamAgent()
    print(agent.transport.address, flush=True)
    url = sys.stdin.readline().strip()

    def print_token_count(results):
        print(sum(body.count(TOKEN) for _, body in results), flush=True)
        agent.transport.close()
        reactor.stop()

    reactor.callWhenRunning(lambda: read_streams(url).addCallback(print_token_count))
    reactor.run()


if __name__ == "__main__":
    main()
