"""Decide which adapters an engine holds, for entries that ask for them.

It answers a load in which more adapters are asked for than an engine has slots: they take turns.
One that is asked for again and again gives way, too, once another has waited for some time.
"""

from dataclasses import dataclass, field

# Entries may rely on an adapter for this long after they asked for it; asking takes some
# milliseconds, and slots can change hands only after that time.
HELD_S = 0.4
# One that has waited for this long gets the next slot, also of an adapter that is asked for still.
TURN_S = 0.25
# An entry may send just before that time is over; what runs keeps its adapter by itself.
MARGIN_S = 0.2
MOST_ARRIVING = 4
# An order for an adapter shows in the engine's report by then, or it was lost.
ARRIVAL_TIMEOUT_S = 0.6
# An adapter that the engine didn't unload is in use; it is left alone for about a request's time.
IN_USE_S = 0.8


@dataclass(slots=True)
class WantedAdapter:
    """Remember an adapter that entries asked for.

    Attributes
    ----------
    model, adapter : str
    until_s : float
        Until when it must not be unloaded.
    asked_s : float
        When it was last asked for.
    ordered_s : float
        When its load was last ordered.
    since_s : float
        Since when entries have been waiting to hear of it.
    had_turn : bool
        Whether entries were told of it since it was loaded.
    waiting : set of str
        Mailboxes of entries that wait to hear of it.
    """

    model: str
    adapter: str
    until_s: float = 0.0
    asked_s: float = 0.0
    ordered_s: float = float("-inf")
    since_s: float = 0.0
    had_turn: bool = False
    waiting: set = field(default_factory=set)


class AdapterDesk:
    """Decide loads and unloads of adapters on one engine.

    Attributes
    ----------
    wanted_by_name : dict of (str, str) to WantedAdapter
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget everything: the engine started anew, or another one is there."""
        self.wanted_by_name = {}
        self._in_use_until_s = {}

    def not_unloaded(self, name, now_s):
        """Note that the engine didn't unload an adapter.

        Parameters
        ----------
        name : (str, str)
            Model and adapter.
        now_s : float
        """
        self._in_use_until_s[name] = now_s + IN_USE_S

    def ask(self, model, adapter, entry_address, now_s):
        """Note that an entry asks for an adapter.

        Parameters
        ----------
        model, adapter, entry_address : str
        now_s : float

        Returns
        -------
        WantedAdapter
        """
        wanted = self.wanted_by_name.setdefault((model, adapter), WantedAdapter(model, adapter))
        wanted.asked_s = now_s
        if not wanted.waiting:
            wanted.since_s = now_s
        wanted.waiting.add(entry_address)
        return wanted

    def answers(self, report, now_s):
        """Return the adapters of which waiting entries can be told, and tell no more of them.

        Parameters
        ----------
        report : EngineReport
        now_s : float

        Returns
        -------
        list of (WantedAdapter, set of str, bool)
            With the entries' mailboxes, and whether it is loaded.
        """
        told = []
        held = frozenset(_held(report))
        self._end_turns(held)
        giving_way = self._giving_way(report, held, now_s)
        for key, wanted in self.wanted_by_name.items():
            if not wanted.waiting or key in giving_way:
                continue
            model = report.model(wanted.model)
            loaded = model is not None and wanted.adapter in model.adapters
            if not loaded and model is not None:
                continue
            if loaded:
                wanted.until_s = now_s + HELD_S + MARGIN_S
                wanted.had_turn = True
            told.append((wanted, wanted.waiting, loaded))
            wanted.waiting = set()
        return told

    def next_load(self, report, memory, now_s):
        """Return the adapter to load next, and the one to unload for it.

        Parameters
        ----------
        report : EngineReport
        memory : EngineMemory
        now_s : float

        Returns
        -------
        tuple of (WantedAdapter or None, (str, str) or None)
        """
        wanted = self._next_wanted(report, now_s)
        if wanted is None or len(report.arriving) >= MOST_ARRIVING:
            return None, None
        held = _held(report)
        has_slot = len(held) + len(report.arriving) < memory.adapter_slots
        if has_slot and memory.has_room_for_adapter(report, wanted.model):
            return wanted, None
        victim = self._victim(held, now_s)
        if victim is None:
            return None, None
        return wanted, victim

    def _end_turns(self, held):
        """Note of adapters that are loaded no more that they have a turn before them."""
        for key, wanted in self.wanted_by_name.items():
            if key not in held:
                wanted.had_turn = False

    def _giving_way(self, report, held, now_s):
        """Return loaded adapters that entries are not told of: others have waited for long."""
        if report.busy:
            # No slot can change hands meanwhile.
            return frozenset()
        overdue = 0
        for key, wanted in self.wanted_by_name.items():
            if key in held or not wanted.waiting or report.model(wanted.model) is None:
                continue
            if now_s - wanted.since_s >= TURN_S:
                overdue += 1
        if not overdue:
            return frozenset()
        oldest = []
        for name in held:
            wanted = self.wanted_by_name.get(name)
            if wanted is not None and wanted.had_turn:
                oldest.append((wanted.until_s, name))
        oldest.sort()
        return frozenset(name for _, name in oldest[:overdue])

    def _next_wanted(self, report, now_s):
        first = None
        arriving = {(name.model, name.adapter) for name in report.arriving}
        for key, wanted in self.wanted_by_name.items():
            if not wanted.waiting or key in arriving:
                continue
            if now_s - wanted.ordered_s < ARRIVAL_TIMEOUT_S:
                continue
            model = report.model(wanted.model)
            if model is None or wanted.adapter in model.adapters:
                continue
            if first is None or wanted.since_s < first.since_s:
                first = wanted
        return first

    def _victim(self, held, now_s):
        idle = []
        for name in held:
            if self._in_use_until_s.get(name, 0.0) > now_s:
                continue
            wanted = self.wanted_by_name.get(name)
            if wanted is None:
                idle.append((0.0, name))
            elif wanted.until_s <= now_s:
                idle.append((wanted.asked_s, name))
        return min(idle)[1] if idle else None


def _held(report):
    held = []
    for model in report.models:
        held.extend((model.name, adapter) for adapter in sorted(model.adapters))
    return held
