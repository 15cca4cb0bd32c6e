"""Decide which adapters an engine holds, for entries that ask for them.

It answers a load in which more adapters are asked for than an engine has slots: they take turns.
One that is asked for again and again gives way, too, once another has waited for some time.
"""

from dataclasses import dataclass, field

# Entries may rely on an adapter for this long after they asked for it; asking takes some
# milliseconds, and slots can change hands only after that time.
HOLD_S = 0.4
# One that has waited for this long gets the next slot, also of an adapter that is asked for still.
MAX_WAIT_S = 0.25
# An entry may send just before that time is over; what runs keeps its adapter by itself.
HOLD_MARGIN_S = 0.2
MAX_ARRIVING = 4
# An order for an adapter shows in the engine's report by then, or it was lost.
ARRIVAL_TIMEOUT_S = 0.6
# An adapter that the engine didn't unload is in use; it is left alone for about a request's time.
IN_USE_BACKOFF_S = 0.8


@dataclass(slots=True)
class RequestedAdapter:
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
    held_until_s: float = 0.0
    requested_s: float = 0.0
    load_ordered_s: float = float("-inf")
    waiting_since_s: float = 0.0
    was_announced: bool = False
    waiting_entries: set = field(default_factory=set)


class AdapterScheduler:
    """Decide loads and unloads of adapters on one engine.

    Attributes
    ----------
    wanted_by_name : dict of (str, str) to WantedAdapter
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget everything: the engine started anew, or another one is there."""
        self.requested_by_name = {}
        self._in_use_until_s = {}

    def unload_refused(self, name, now_s):
        """Note that the engine didn't unload an adapter.

        Parameters
        ----------
        name : (str, str)
            Model and adapter.
        now_s : float
        """
        self._in_use_until_s[name] = now_s + IN_USE_BACKOFF_S

    def request(self, model, adapter, entry_address, now_s):
        """Note that an entry asks for an adapter.

        Parameters
        ----------
        model, adapter, entry_address : str
        now_s : float

        Returns
        -------
        WantedAdapter
        """
        requested = self.requested_by_name.setdefault(
            (model, adapter), RequestedAdapter(model, adapter)
        )
        requested.requested_s = now_s
        if not requested.waiting_entries:
            requested.waiting_since_s = now_s
        requested.waiting_entries.add(entry_address)
        return requested

    def pop_answers(self, report, now_s):
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
        answers = []
        loaded_names = frozenset(_loaded_adapters(report))
        self._reset_announced(loaded_names)
        yielding = self._yielding_adapters(report, loaded_names, now_s)
        for key, requested in self.requested_by_name.items():
            if not requested.waiting_entries or key in yielding:
                continue
            model = report.model(requested.model)
            loaded = model is not None and requested.adapter in model.adapters
            if not loaded and model is not None:
                continue
            if loaded:
                requested.held_until_s = now_s + HOLD_S + HOLD_MARGIN_S
                requested.was_announced = True
            answers.append((requested, requested.waiting_entries, loaded))
            requested.waiting_entries = set()
        return answers

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
        requested = self._next_requested(report, now_s)
        if requested is None or len(report.arriving) >= MAX_ARRIVING:
            return None, None
        loaded_names = _loaded_adapters(report)
        has_slot = len(loaded_names) + len(report.arriving) < memory.adapter_slots
        if has_slot and memory.has_room_for_adapter(report, requested.model):
            return requested, None
        victim = self._victim(loaded_names, now_s)
        if victim is None:
            return None, None
        return requested, victim

    def _reset_announced(self, loaded_names):
        """Note of adapters that are loaded no more that they have a turn before them."""
        for key, requested in self.requested_by_name.items():
            if key not in loaded_names:
                requested.was_announced = False

    def _yielding_adapters(self, report, loaded_names, now_s):
        """Return loaded adapters that entries are not told of: others have waited for long."""
        if report.busy:
            # No slot can change hands meanwhile.
            return frozenset()
        overdue = 0
        for key, requested in self.requested_by_name.items():
            if (
                key in loaded_names
                or not requested.waiting_entries
                or report.model(requested.model) is None
            ):
                continue
            if now_s - requested.waiting_since_s >= MAX_WAIT_S:
                overdue += 1
        if not overdue:
            return frozenset()
        candidates = []
        for name in loaded_names:
            requested = self.requested_by_name.get(name)
            if requested is not None and requested.was_announced:
                candidates.append((requested.held_until_s, name))
        candidates.sort()
        return frozenset(name for _, name in candidates[:overdue])

    def _next_requested(self, report, now_s):
        first = None
        arriving = {(name.model, name.adapter) for name in report.arriving}
        for key, requested in self.requested_by_name.items():
            if not requested.waiting_entries or key in arriving:
                continue
            if now_s - requested.load_ordered_s < ARRIVAL_TIMEOUT_S:
                continue
            model = report.model(requested.model)
            if model is None or requested.adapter in model.adapters:
                continue
            if first is None or requested.waiting_since_s < first.waiting_since_s:
                first = requested
        return first

    def _victim(self, loaded_names, now_s):
        idle = []
        for name in loaded_names:
            if self._in_use_until_s.get(name, 0.0) > now_s:
                continue
            requested = self.requested_by_name.get(name)
            if requested is None:
                idle.append((0.0, name))
            elif requested.held_until_s <= now_s:
                idle.append((requested.requested_s, name))
        return min(idle)[1] if idle else None


def _loaded_adapters(report):
    loaded_names = []
    for model in report.models:
        loaded_names.extend((model.name, adapter) for adapter in sorted(model.adapters))
    return loaded_names
