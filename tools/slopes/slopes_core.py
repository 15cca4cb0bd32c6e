"""Measure the memory of table rows and the cost and size of frames, for every kind of node."""

from hemlockdock_core.messages import (
    NODE_CODEC,
    PROTOCOL_VERSION,
    AnswerChunk,
    Frame,
    Heartbeat,
    HeartbeatAck,
    ModelTraffic,
    TableChunk,
    TableDelta,
)
from hemlockdock_core.node import TableCopy
from hemlockdock_core.rows import AdapterRow, ModelRow, NodeRow, ReplicaRow, ReplicaState
from slopes.probe import allocated_bytes, cpu_time_us
from slopes.slope import Slope

ROW_SIZES = (1_000, 4_000, 11_000)
FRAME_SIZES = (1_000, 5_000, 20_000)
LOAD_SIZES = (0, 4, 16)
CHUNK_BYTES = 40


def adapter(index):
    """Return an adapter row with a name of typical length."""
    return AdapterRow(f"damage-narrative-{index % 110:02}-area-{index:05}", f"model-{index % 110}")


def model(index):
    """Return a model row."""
    return ModelRow(f"damage-narrative-{index:05}", "v1", "damage-narrative", 50, 3, 8, 20_000)


def node(index):
    """Return a node row."""
    address = f"tcp://127.0.0.1:{index}"
    return NodeRow(f"agent-{index}", "agent", f"host-{index}", "domain-1", address, 1, False, False)


def replica(index):
    """Return a replica row."""
    state = ReplicaState.READY
    return ReplicaRow(f"r-{index}", f"m-{index % 110}", "v1", f"agent-{index}", state, index, [], 8)


def table_receiver(factory, count):
    """Return a function that builds a table copy from an encoded chunk of rows, as a node does."""
    rows = [factory(index) for index in range(count)]
    frame = Frame(PROTOCOL_VERSION, "control-1", 1, "", TableChunk(1, 1, 0, 1, rows))
    data = NODE_CODEC.encode(frame)
    del rows, frame

    def receive():
        copy = TableCopy()
        copy.take_chunk(NODE_CODEC.decode(data).body)
        return copy

    return receive


def codec_loop(body, count):
    """Return a function that encodes and decodes a frame ``count`` times."""
    frame = Frame(PROTOCOL_VERSION, "entry-1", 1_764_000_000_000, "tcp://127.0.0.1:17041", body)

    def work():
        for _ in range(count):
            NODE_CODEC.decode(NODE_CODEC.encode(frame))

    return work


def measure():
    """Yield the slopes of table rows and frames."""
    factories = (("adapter", adapter), ("model", model), ("node", node), ("replica", replica))
    for name, factory in factories:
        bytes_allocated = [allocated_bytes(table_receiver(factory, size)) for size in ROW_SIZES]
        yield Slope.fit(f"table row, {name}", f"bytes per {name}", ROW_SIZES, bytes_allocated)
    yield _delta_bytes()
    yield _heartbeat_bytes()
    bodies = (
        ("heartbeat", Heartbeat(1_000, 1, 50_000, False, None, [])),
        ("heartbeat answer", HeartbeatAck(1_000, 50_000, True, True)),
        ("table delta of one row", TableDelta(1, 9, 10, [replica(7)], [])),
        ("answer chunk of one token", AnswerChunk("entry-1-17-42", 1, 400, b"x" * CHUNK_BYTES)),
    )
    for name, body in bodies:
        times_us = [cpu_time_us(codec_loop(body, size)) for size in FRAME_SIZES]
        unit = "us to encode and decode"
        yield Slope.fit(f"frame, {name}", unit, FRAME_SIZES, times_us)


def _delta_bytes():
    counts = (1, 10, 100)
    sizes = []
    for count in counts:
        delta = TableDelta(1, 50_000, 50_001, [replica(index) for index in range(count)], [])
        frame = Frame(PROTOCOL_VERSION, "control-1", 1, "tcp://127.0.0.1:17001", delta)
        sizes.append(len(NODE_CODEC.encode(frame)))
    return Slope.fit("table delta on the wire", "bytes per changed replica row", counts, sizes)


def _heartbeat_bytes():
    sizes = []
    for count in LOAD_SIZES:
        loads = [ModelTraffic(f"damage-narrative-{index:02}", 100, 2, 3) for index in range(count)]
        heartbeat = Heartbeat(10_000, 1, 50_000, False, None, loads)
        frame = Frame(PROTOCOL_VERSION, "entry-1", 1, "tcp://127.0.0.1:17041", heartbeat)
        sizes.append(len(NODE_CODEC.encode(frame)))
    return Slope.fit("heartbeat on the wire", "bytes per reported model", LOAD_SIZES, sizes)
