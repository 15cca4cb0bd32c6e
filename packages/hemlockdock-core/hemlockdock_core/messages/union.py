"""Union of all messages between nodes, and their codec."""

from hemlockdock_core.messages.answer_chunk import AnswerChunk
from hemlockdock_core.messages.answer_end import AnswerEnd
from hemlockdock_core.messages.answer_head import AnswerHead
from hemlockdock_core.messages.cancel import Cancel
from hemlockdock_core.messages.codec import Codec
from hemlockdock_core.messages.crash_report import CrashReport
from hemlockdock_core.messages.dispatch import Dispatch
from hemlockdock_core.messages.entry_notices import CrashNotice, EntryList, SoundNotice
from hemlockdock_core.messages.fleet import (
    AdapterHeld,
    AdapterWish,
    ChangeModels,
    DemandReport,
    EndpointReport,
    EngineFacts,
)
from hemlockdock_core.messages.heartbeat import Heartbeat, HeartbeatAck
from hemlockdock_core.messages.inventory import Inventory
from hemlockdock_core.messages.leaving import Leaving
from hemlockdock_core.messages.load import LoadSummary
from hemlockdock_core.messages.orders import (
    LoadAdapterOrder,
    LoadOrder,
    OrderResult,
    UnloadAdapterOrder,
    UnloadOrder,
)
from hemlockdock_core.messages.proposals import Proposal, ProposalResult
from hemlockdock_core.messages.quotas import QuotaReply, QuotaRequest, QuotaReturn
from hemlockdock_core.messages.refused import Refused
from hemlockdock_core.messages.request_limits import (
    LimitNamed,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from hemlockdock_core.messages.resume import Resume
from hemlockdock_core.messages.stream_origins import (
    FindStreamOrigin,
    StreamOriginReply,
    StreamStarted,
)
from hemlockdock_core.messages.table import TableChunk, TableDelta, WatchTable
from hemlockdock_core.messages.wish import Wish

NodeMessage = (
    Heartbeat
    | HeartbeatAck
    | WatchTable
    | TableChunk
    | TableDelta
    | Wish
    | LoadOrder
    | UnloadOrder
    | LoadAdapterOrder
    | UnloadAdapterOrder
    | OrderResult
    | Inventory
    | Leaving
    | CrashReport
    | Proposal
    | ProposalResult
    | Dispatch
    | AnswerHead
    | AnswerChunk
    | AnswerEnd
    | Refused
    | Cancel
    | Resume
    | EndpointReport
    | ChangeModels
    | EngineFacts
    | DemandReport
    | AdapterWish
    | AdapterHeld
    | StreamStarted
    | FindStreamOrigin
    | StreamOriginReply
    | LimitNamed
    | PermitRequest
    | PermitReply
    | PermitReturn
    | EntryList
    | CrashNotice
    | SoundNotice
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
    | LoadSummary
)

NODE_CODEC = Codec(NodeMessage)
