"""Find in the logs of a day which models were absent, and what their requests came to."""

import re
from dataclasses import dataclass, field

from hemlockdock_cli.lab.store_bound import AbsentModel, most_names_served
from hemlockdock_cli.trace import EXCHANGE_DECIDED, REQUEST_ENDED

# A name counts if it is requested at least this often, over at least this time.
MIN_REQUESTS = 4
MIN_SPAN_S = 8.0
# A host whose engine starts again is back within this time.
RETURN_S = 10.0
ROW_FIELD = {
    name: re.compile(rf"{name}=\((.*?)\), (?:software_version|agent_address)=")
    for name in ("on_host", "models")
}
QUOTED = re.compile(r"'([^']+)'")


@dataclass(slots=True)
class NameUse:
    """The requests for one model, or for one of its adapters.

    Attributes
    ----------
    asked_s : list of float
        Arrivals.
    answered_s : float
        Time of the first answer; infinite if there was none.
    last_useful_s : float
        Latest time until which one of its clients would have waited.
    """

    asked_s: list = field(default_factory=list)
    answered_s: float = float("inf")
    last_useful_s: float = float("-inf")

    @property
    def counts(self):
        """Return whether it was asked for through the day."""
        span_s = max(self.asked_s) - min(self.asked_s)
        return len(self.asked_s) >= MIN_REQUESTS and span_s >= MIN_SPAN_S


class LoggedDay:
    """What the lines of control members and entries tell of one day.

    Parameters
    ----------
    lines : iterable of LogLine

    Attributes
    ----------
    use_by_name : dict of (str, str) to NameUse
        Keyed by model and adapter; the adapter is empty for the model itself.
    """

    def __init__(self, lines):
        self.use_by_name = {}
        self.first_load_s = None
        self.load_s = 0.0
        self._first_request_s = float("inf")
        # Times and sets of models, in the order of the log.
        self._rows_by_endpoint = {}
        self._leaving_s_by_endpoint = {}
        self._gone_s_by_endpoint = {}
        for line in sorted(lines, key=lambda line: line.at_s):
            self._read(line)

    @property
    def counted(self):
        """Return the names that were asked for through the day."""
        return {name: use for name, use in self.use_by_name.items() if use.counts}

    def never_served(self):
        """Return how many of them were never served."""
        return sum(use.answered_s == float("inf") for use in self.counted.values())

    def least_never_served(self, is_leaving_foreseen):
        """Return how many of them any schedule of the store leaves.

        Parameters
        ----------
        is_leaving_foreseen : bool
            Whether it is known from the start which hosts leave, or only once they are listed.

        Returns
        -------
        int
        """
        absent = list(self._absent(is_leaving_foreseen))
        names = sum(item.names for item in absent)
        if self.first_load_s is None:
            return names
        return names - most_names_served(absent, self.first_load_s, self.load_s)

    def _read(self, line):
        fields = line.fields
        if line.message == REQUEST_ENDED and fields.get("model"):
            self._read_request(line.at_s, fields)
        elif line.message == EXCHANGE_DECIDED and fields.get("source") == "store":
            if self.first_load_s is None:
                self.first_load_s, self.load_s = line.at_s, fields["takes_s"]
        elif line.message == "endpoint changed":
            self._read_row(line.at_s, fields["endpoint"], fields["row"])
        elif line.message == "endpoint gone":
            self._gone_s_by_endpoint[fields["endpoint"]] = line.at_s

    def _read_request(self, at_s, fields):
        asked_s = at_s - (fields.get("held_s") or 0.0)
        self._first_request_s = min(self._first_request_s, asked_s)
        for adapter in {"", fields.get("adapter") or ""}:
            use = self.use_by_name.setdefault((fields["model"], adapter), NameUse())
            use.asked_s.append(asked_s)
            use.last_useful_s = max(use.last_useful_s, at_s + (fields.get("left_s") or 0.0))
            if fields["outcome"] == "answered":
                use.answered_s = min(use.answered_s, at_s)

    def _read_row(self, at_s, endpoint_id, row):
        models = set()
        for pattern in ROW_FIELD.values():
            found = pattern.search(row)
            if found is not None:
                models.update(QUOTED.findall(found.group(1)))
        self._rows_by_endpoint.setdefault(endpoint_id, []).append((at_s, frozenset(models)))
        if "leaving=True" in row or "retiring=True" in row:
            self._leaving_s_by_endpoint.setdefault(endpoint_id, at_s)

    def _absent(self, is_leaving_foreseen):
        names_by_model = {}
        for (model, adapter), use in self.counted.items():
            names_by_model.setdefault(model, {})[adapter] = use
        for model, use_by_adapter in names_by_model.items():
            lost_s, known_s = self._lost_s(model)
            uses = [use for use in use_by_adapter.values() if use.answered_s >= lost_s]
            if lost_s == float("inf") or not uses:
                continue
            last_useful_s = max(use.last_useful_s for use in uses)
            known_s = float("-inf") if is_leaving_foreseen else known_s
            yield AbsentModel(model, len(uses), last_useful_s, known_s)

    def _lost_s(self, model):
        """Return when the last host with a model was gone, and when it was listed as leaving."""
        lost_s = known_s = float("-inf")
        for endpoint_id, rows in self._rows_by_endpoint.items():
            had = [at_s for at_s, models in rows if model in models]
            if not had or had[0] > self._first_request_s:
                continue
            gone_s = self._gone_s_by_endpoint.get(endpoint_id, float("inf"))
            if endpoint_id not in self._leaving_s_by_endpoint and gone_s < float("inf"):
                gone_s = float("inf") if self._returns(model, gone_s) else gone_s
            if gone_s > lost_s:
                lost_s, known_s = gone_s, self._leaving_s_by_endpoint.get(endpoint_id, gone_s)
        return lost_s, known_s

    def _returns(self, model, gone_s):
        for rows in self._rows_by_endpoint.values():
            for at_s, models in rows:
                if model in models and gone_s <= at_s <= gone_s + RETURN_S:
                    return True
        return False
