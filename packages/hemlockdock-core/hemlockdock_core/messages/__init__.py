"""Typed messages that hemlockdock's processes exchange."""

from hemlockdock_core.messages.answer_chunk import AnswerChunk
from hemlockdock_core.messages.answer_end import AnswerEnd
from hemlockdock_core.messages.answer_head import AnswerHead
from hemlockdock_core.messages.cancel import Cancel
from hemlockdock_core.messages.codec import Codec, MalformedFrameError
from hemlockdock_core.messages.crash_report import CrashReport
from hemlockdock_core.messages.dispatch import Dispatch
from hemlockdock_core.messages.entry_notices import CrashNotice, EntryList, SoundNotice
from hemlockdock_core.messages.fleet import (
    LATELY_DECAY_S,
    AdapterHeld,
    AdapterWish,
    ChangeModels,
    DemandReport,
    EndpointReport,
    EngineFacts,
    ModelDemand,
)
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.messages.heartbeat import Heartbeat, HeartbeatAck
from hemlockdock_core.messages.inventory import Inventory, InventoryModel
from hemlockdock_core.messages.leaving import Leaving
from hemlockdock_core.messages.load import (
    SUMMARY_INTERVAL_S,
    EndpointLoad,
    LoadSummary,
    load_key,
)
from hemlockdock_core.messages.orders import (
    LoadAdapterOrder,
    LoadOrder,
    OrderOutcome,
    OrderResult,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.messages.proposals import Proposal, ProposalResult
from hemlockdock_core.messages.quotas import (
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    TokenClaim,
    TokenDecision,
)
from hemlockdock_core.messages.refused import Refused
from hemlockdock_core.messages.request_limits import (
    LimitNamed,
    PermitOffer,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from hemlockdock_core.messages.resume import Resume
from hemlockdock_core.messages.stream_origins import (
    FindStreamOrigin,
    OriginQuestion,
    StreamOriginReply,
    StreamStarted,
)
from hemlockdock_core.messages.table import TableChunk, TableDelta, WatchTable
from hemlockdock_core.messages.union import NODE_CODEC, NodeMessage
from hemlockdock_core.messages.wish import ModelTraffic, Wish
from hemlockdock_core.node_info import NodeInfo

__all__ = [
    "SUMMARY_INTERVAL_S",
    "LATELY_DECAY_S",
    "NODE_CODEC",
    "PROTOCOL_VERSION",
    "AdapterHeld",
    "AdapterWish",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerHead",
    "Cancel",
    "ChangeModels",
    "Codec",
    "CrashNotice",
    "CrashReport",
    "DemandReport",
    "Dispatch",
    "EndpointLoad",
    "EndpointReport",
    "EngineFacts",
    "EntryList",
    "FindStreamOrigin",
    "Frame",
    "Heartbeat",
    "HeartbeatAck",
    "Inventory",
    "InventoryModel",
    "Leaving",
    "LimitNamed",
    "LoadAdapterOrder",
    "LoadOrder",
    "LoadSummary",
    "MalformedFrameError",
    "ModelDemand",
    "ModelTraffic",
    "NodeInfo",
    "NodeMessage",
    "OrderOutcome",
    "OrderResult",
    "OriginQuestion",
    "PermitOffer",
    "PermitReply",
    "PermitRequest",
    "PermitReturn",
    "Proposal",
    "ProposalResult",
    "TokenClaim",
    "TokenDecision",
    "QuotaReply",
    "QuotaRequest",
    "QuotaReturn",
    "Refused",
    "Resume",
    "SoundNotice",
    "StreamStarted",
    "StreamOriginReply",
    "TableChunk",
    "TableDelta",
    "UnloadAdapterOrder",
    "UnloadOrder",
    "WatchTable",
    "Wish",
    "load_key",
]
