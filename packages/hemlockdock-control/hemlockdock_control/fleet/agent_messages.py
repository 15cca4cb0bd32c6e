"""Messages of placement to agents."""

import zlib
from dataclasses import dataclass

import msgspec

from hemlockdock_core.messages import ChangeModels, EngineFacts


@dataclass(frozen=True, slots=True)
class AgentMessage:
    """A message to be sent to an agent.

    Attributes
    ----------
    agent_address : str
    message : ChangeModels or EngineFacts
    """

    agent_address: str
    message: ChangeModels | EngineFacts


def facts_messages(pool, views, term):
    """Yield what the agents of a pool have to know of its engines, to those that don't yet.

    Parameters
    ----------
    pool : PoolRow
    views : dict of str to EngineView
    term : int

    Yields
    ------
    AgentMessage
    """
    number = zlib.crc32(msgspec.msgpack.encode((term, pool)))
    for view in views.values():
        if view.facts_number != number:
            facts = EngineFacts(term, number, pool.engine, pool.probe_path)
            yield AgentMessage(view.agent_address, facts)
