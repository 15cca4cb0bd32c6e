"""Refuse prompts with a part that crashes endpoints, and try parts that can't be told apart."""

from dataclasses import dataclass, field

from hemlockdock_core.suspect_keys import (
    CRASHES_BEFORE_QUARANTINE,
    MIN_REQUESTS_OF_PART,
    PART_PREFIX,
    SAME_CRASH_MS,
    is_part,
    part_key,
)
from hemlockdock_entry.gateway.sound_parts import SoundParts
from hemlockdock_entry.routing import SeenCrashes

RETENTION_S = 600.0
MAX_SEEN_PARTS = 1_024
# One prompt in this time tries a part that may be sound.
TRIAL_INTERVAL_S = 1.0
MS_PER_S = 1_000


@dataclass(slots=True)
class SeenPart(SeenCrashes):
    """The crashes of endpoints that ran requests with a part, as far as this entry knows.

    Attributes
    ----------
    fingerprints : set of str
        Requests with the part.
    """

    fingerprints: set = field(default_factory=set)

    @property
    def is_refused(self):
        """Return whether they suffice to refuse the part."""
        if len(self.endpoint_ids) < CRASHES_BEFORE_QUARANTINE:
            return False
        return len(self.fingerprints) >= MIN_REQUESTS_OF_PART


@dataclass(frozen=True, slots=True)
class RefusedPart:
    """Why a prompt is not sent to an endpoint.

    Attributes
    ----------
    key : str
    crash_ids : tuple of str
    retry_after_ms : int
    """

    key: str
    crash_ids: tuple
    retry_after_ms: int


class PartQuarantine:
    """Decide about prompts by their parts, by this entry's view and by what control committed.

    Parts that were in the same crashes can't be told apart. A prompt that has some of them, not
    all, is let through once in a while: its crash or its answer tells more.
    """

    def __init__(self):
        self.sound = SoundParts()
        self._seen_by_part = {}
        self._parts_by_crash_ids = {}
        self._next_trial_s_by_crash_ids = {}

    def record_crash(self, endpoint_id, parts_by_fingerprint, now_s, observer=""):
        """Record that an endpoint crashed while it ran requests.

        Parameters
        ----------
        endpoint_id : str
        parts_by_fingerprint : dict of str to tuple of str
            The requests, each with the parts of its prompt that are not known to be sound.
        now_s : float
        observer : str, optional
            The entry that saw it; empty for this one.
        """
        fingerprints_by_part = {}
        for fingerprint, parts in parts_by_fingerprint.items():
            for part in parts:
                fingerprints_by_part.setdefault(part, set()).add(fingerprint)
        self._forget_absent(fingerprints_by_part.keys())
        for part, fingerprints in fingerprints_by_part.items():
            seen = self._seen_by_part.pop(part, None) or SeenPart([], 0.0, now_s, observer)
            if len(self._seen_by_part) >= MAX_SEEN_PARTS:
                del self._seen_by_part[next(iter(self._seen_by_part))]
            self._seen_by_part[part] = seen
            if len(seen.fingerprints) < MIN_REQUESTS_OF_PART:
                seen.fingerprints |= fingerprints
            if seen.is_repeated(endpoint_id, observer, now_s, SAME_CRASH_MS / MS_PER_S):
                continue
            seen.endpoint_ids = [*seen.endpoint_ids, endpoint_id][-CRASHES_BEFORE_QUARANTINE:]
            seen.until_s = now_s + RETENTION_S
            seen.crashed_s = now_s
            seen.observer = observer

    def explains_crash(self, parts, table):
        """Return whether a request with these parts explains the crash of its endpoint.

        Parameters
        ----------
        parts : iterable of str
        table : RoutingTable

        Returns
        -------
        bool
        """
        for part in parts:
            seen = self._seen_by_part.get(part)
            row = table.quarantine_by_fingerprint.get(part_key(part))
            if (seen is not None and seen.is_refused) or (row is not None and row.refused):
                return True
        return False

    def record_answer(self, parts, now_s):
        """Record that an endpoint began to write an answer and carried on.

        Parameters
        ----------
        parts : iterable of str
        now_s : float

        Returns
        -------
        list of str
            The parts that were suspects.
        """
        self.sound.record(parts, now_s)
        return [part for part in parts if self.forget(part)]

    def forget(self, part):
        """Forget the crashes that this entry knows of a part.

        Parameters
        ----------
        part : str

        Returns
        -------
        bool
            Whether it was a suspect.
        """
        return self._seen_by_part.pop(part, None) is not None

    def unproven(self, parts, now_s):
        """Return the parts that are not known to be sound.

        Parameters
        ----------
        parts : iterable of str
        now_s : float

        Returns
        -------
        tuple of str
        """
        return tuple(part for part in parts if not self.sound.contains(part, now_s))

    def table_changed(self, table):
        """Group the parts that control refuses by their crashes.

        Parameters
        ----------
        table : RoutingTable
        """
        self._parts_by_crash_ids = {}
        for key, row in table.quarantine_by_fingerprint.items():
            if row.refused and is_part(key):
                group = self._parts_by_crash_ids.setdefault(row.crash_ids, set())
                group.add(key.removeprefix(PART_PREFIX))

    def crash_count(self, parts, table, now_s):
        """Return the largest number of crashes that one of a prompt's parts may explain.

        Parameters
        ----------
        parts : iterable of str
        table : RoutingTable
        now_s : float

        Returns
        -------
        int
        """
        most = 0
        for part in self.unproven(parts, now_s):
            seen = self._seen_by_part.get(part)
            if seen is not None:
                most = max(most, len(seen.endpoint_ids))
            row = table.quarantine_by_fingerprint.get(part_key(part))
            if row is not None:
                most = max(most, row.crashes)
        return most

    def refused_part(self, prompt, table, now_s, wall_ms):
        """Return why a prompt is not sent to an endpoint, or None if it may be.

        Parameters
        ----------
        prompt : Prompt
        table : RoutingTable
        now_s : float
        wall_ms : int

        Returns
        -------
        RefusedPart or None
        """
        for part in prompt.parts:
            refused = self._refused_by_row(part, prompt, table, now_s, wall_ms)
            if refused is None:
                refused = self._refused_by_own_view(part, prompt, now_s)
            if refused is not None:
                return refused
        return None

    def remove_expired(self, now_s):
        """Forget crashes and trials that are too long ago.

        Parameters
        ----------
        now_s : float
        """
        for part, seen in list(self._seen_by_part.items()):
            if seen.until_s <= now_s:
                del self._seen_by_part[part]
        for crash_ids, next_trial_s in list(self._next_trial_s_by_crash_ids.items()):
            if next_trial_s <= now_s:
                del self._next_trial_s_by_crash_ids[crash_ids]

    def _refused_by_row(self, part, prompt, table, now_s, wall_ms):
        key = part_key(part)
        row = table.quarantine_by_fingerprint.get(key)
        if row is None or not row.refused or row.until_ms <= wall_ms:
            return None
        group = self._parts_by_crash_ids.get(row.crash_ids, {part})
        left_ms = row.until_ms - wall_ms
        return self._decide(key, row.crash_ids, group, prompt, left_ms, now_s)

    def _refused_by_own_view(self, part, prompt, now_s):
        seen = self._seen_by_part.get(part)
        if seen is None or not seen.is_refused or seen.until_s <= now_s:
            return None
        group = self._seen_alike(seen)
        left_ms = round((seen.until_s - now_s) * MS_PER_S)
        crash_ids = tuple(seen.endpoint_ids)
        return self._decide(part_key(part), crash_ids, group, prompt, left_ms, now_s)

    def _seen_alike(self, seen):
        """Return the refused parts that can't be told apart from one by what this entry saw."""
        alike = set()
        for part, other in self._seen_by_part.items():
            if other.is_refused and other.endpoint_ids == seen.endpoint_ids:
                alike.add(part)
        return alike

    def _forget_absent(self, crashed_parts):
        """Forget the refused parts that were absent when one like them crashed an endpoint."""
        absent = set()
        for part in crashed_parts:
            seen = self._seen_by_part.get(part)
            if seen is not None and seen.is_refused:
                absent |= self._seen_alike(seen) - crashed_parts
        for part in absent:
            self.forget(part)

    def _decide(self, key, crash_ids, group, prompt, left_ms, now_s):
        if group.issubset(prompt.parts):
            return RefusedPart(key, crash_ids, left_ms)
        if crash_ids in prompt.trials:
            return None
        wait_s = self._next_trial_s_by_crash_ids.get(crash_ids, now_s) - now_s
        if wait_s > 0:
            return RefusedPart(key, crash_ids, round(wait_s * MS_PER_S))
        prompt.trials.add(crash_ids)
        self._next_trial_s_by_crash_ids[crash_ids] = now_s + TRIAL_INTERVAL_S
        return None
