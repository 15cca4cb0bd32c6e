"""Decide which adapters an engine holds, for entries that request them.

If more adapters are requested than the engine has slots, the adapters share the slots over time.
Even an adapter that is requested continuously is unloaded once another one has waited for
``MAX_WAIT_S``.
"""

from dataclasses import dataclass, field

# Entries may rely on an adapter for this long after they requested it. A request takes some
# milliseconds, and a slot is given to another adapter only after this time.
HOLD_S = 0.4
# An adapter that has waited for this long gets the next slot, even that of an adapter which is
# still being requested.
MAX_WAIT_S = 0.25
# An entry may send a request just before HOLD_S is over. Running requests keep their adapter
# loaded without it.
HOLD_MARGIN_S = 0.2
MAX_ARRIVING = 4
# An adapter order that is not visible in the engine's report after this time was lost.
ARRIVAL_TIMEOUT_S = 0.6
# An adapter that the engine refused to unload is in use. It is not selected again for about the
# duration of a request.
IN_USE_BACKOFF_S = 0.8


@dataclass(slots=True)
class RequestedAdapter:
    """Hold the state of an adapter that entries requested.

    Attributes
    ----------
    model, adapter : str
    held_until_s : float
        Time before which the adapter must not be unloaded.
    requested_s : float
        When the adapter was last requested.
    load_ordered_s : float
        When its load was last ordered.
    waiting_since_s : float
        When the first of the waiting entries requested it.
    was_announced : bool
        Whether entries were told since its load that it is loaded.
    waiting_entries : set of str
        Mailbox addresses of entries that wait for an answer.
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
    """Schedule loads and unloads of adapters on one engine.

    Attributes
    ----------
    requested_by_name : dict of (str, str) to RequestedAdapter
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Reset the state after the engine was restarted or replaced."""
        self.requested_by_name = {}
        self._in_use_until_s = {}

    def unload_refused(self, name, now_s):
        """Record that the engine did not unload an adapter.

        Parameters
        ----------
        name : (str, str)
            Model and adapter.
        now_s : float
        """
        self._in_use_until_s[name] = now_s + IN_USE_BACKOFF_S

    def request(self, model, adapter, entry_address, now_s):
        """Record that an entry requests an adapter.

        Parameters
        ----------
        model, adapter, entry_address : str
        now_s : float

        Returns
        -------
        RequestedAdapter
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
        """Return the answers that can be sent to waiting entries, and remove those entries.

        Parameters
        ----------
        report : EngineReport
        now_s : float

        Returns
        -------
        list of (RequestedAdapter, set of str, bool)
            The adapter, the entries' mailbox addresses, and whether the adapter is loaded.
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
        """Return the adapter to load next, and the adapter to unload for it.

        Parameters
        ----------
        report : EngineReport
        memory : EngineMemory
        now_s : float

        Returns
        -------
        tuple of (RequestedAdapter or None, (str, str) or None)
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
        """Clear the announcement of adapters that are no longer loaded."""
        for key, requested in self.requested_by_name.items():
            if key not in loaded_names:
                requested.was_announced = False

    def _yielding_adapters(self, report, loaded_names, now_s):
        """Return loaded adapters to withhold from entries, since others have waited too long."""
        if report.busy:
            # No adapter can be loaded or unloaded until the engine is idle again.
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
