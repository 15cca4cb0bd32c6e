"""Select the instance of a plain service that receives a call."""

from hemlockdock_entry.routing import AttemptOutcome, EndpointRecord

MAX_EJECTED_FRACTION = 0.5


class InstancePicker:
    """Select instances by this entry's calls in flight, and eject those that keep failing.

    Parameters
    ----------
    random_source : random.Random
    """

    def __init__(self, random_source):
        self._random = random_source
        self._record_by_url = {}

    def choose(self, urls, now, avoided=()):
        """Select an instance, one in a pause only if there is no other.

        Parameters
        ----------
        urls : list of str
        now : float
        avoided : collection of str, optional
            Instances to select only if there is no other.

        Returns
        -------
        str
        """
        awake = [url for url in urls if self._record(url, now).paused_until <= now] or urls
        candidates = [url for url in awake if self._record(url, now).ejected_until <= now]
        if len(candidates) < len(awake) * (1 - MAX_EJECTED_FRACTION):
            candidates = awake
        others = [url for url in candidates if url not in avoided]
        return min(
            others or candidates,
            key=lambda url: (self._record(url, now).in_flight, self._random.random()),
        )

    def pause_end(self, urls, now):
        """Return when the first instance ends its pause, or None if one of them has none.

        Parameters
        ----------
        urls : list of str
        now : float

        Returns
        -------
        float or None
        """
        first = min((self._record(url, now).paused_until for url in urls), default=0.0)
        return first if first > now else None

    def record_pause(self, url, pause_s, now):
        """Record that an instance asked to get no calls for a while.

        Parameters
        ----------
        url : str
        pause_s, now : float
        """
        record = self._record(url, now)
        record.paused_until = max(record.paused_until, now + pause_s)

    def record_dispatch(self, url, now):
        """Count a call that starts on an instance.

        Parameters
        ----------
        url : str
        now : float
        """
        self._record(url, now).in_flight += 1

    def record_completion(self, url, outcome, now):
        """Count a call that ended on an instance and record its outcome.

        Parameters
        ----------
        url : str
        outcome : AttemptOutcome
        now : float
        """
        record = self._record(url, now)
        record.in_flight -= 1
        if outcome is AttemptOutcome.ANSWERED:
            record.record_success()
        if outcome is AttemptOutcome.FAILED:
            record.record_failure(now)

    def _record(self, url, now):
        return self._record_by_url.setdefault(url, EndpointRecord(now))
