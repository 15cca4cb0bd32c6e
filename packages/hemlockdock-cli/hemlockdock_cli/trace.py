"""Merge the log lines of one request from many processes and explain its outcome."""

import json
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
REQUEST_ENDED = "request ended"
EXCHANGE_DECIDED = "exchange decided"
EXCHANGE_ENDED = "exchange over"
# Covers a load from the weight store and the decisions before it.
MODEL_WINDOW_S = 15.0
HIDDEN_FIELDS = ("time", "level", "logger", "message", "request")

CAUSE_BY_OUTCOME = {
    "answered": "It was answered.",
    "failed": "The endpoint answered with a failure of its own, which was delivered.",
    "deadline_unreachable": "It was refused, not run: its model was not there in time.",
    "no_capacity": "It was refused, not run: no endpoint could take it.",
    "no_control": "It was refused, not run: the entry knew no routes yet.",
    "draining": "It was refused, not run: the entry was stopping.",
    "unknown_route": "It was refused, not run: no route in force fits its host and path.",
    "endpoint_lost": "It may have run: the endpoint was sent it and gave no whole answer.",
    "deadline_passed": "It may have run: no answer came before its deadline.",
    "broken_off": "Its answer began and could not be ended; the client saw it break off.",
    "client_gone": "Its client left before it was answered; the work was stopped.",
}
END_NOT_FOUND = "No line says how it ended: its process may have been killed."


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed log line.

    Attributes
    ----------
    at_s : float
        Unix time in seconds.
    source : str
        Last word before the JSON object in the line, or else the file name.
    fields : dict
        Decoded JSON object of the line.
    """

    at_s: float
    source: str
    fields: dict

    @property
    def message(self):
        """Return the log message."""
        return self.fields.get("message", "")

    def details(self):
        """Return the remaining non-empty fields as ``name=value`` text."""
        shown = []
        for name, value in self.fields.items():
            if name not in HIDDEN_FIELDS and value not in (None, "", []):
                shown.append(f"{name}={value}")
        return " ".join(shown)


def trace_lines(request_id, paths):
    """Return the trace of one request.

    Parameters
    ----------
    request_id : str
    paths : iterable of str
        Log files of any number of processes.

    Returns
    -------
    list of str
        One line for each event in chronological order, then the explanation of the outcome.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    lines = []
    for path in paths:
        lines.extend(read_log(path))
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return [f"no line names request {request_id}"]
    request_lines.sort(key=lambda line: line.at_s)
    end = next((line for line in request_lines if line.message == REQUEST_ENDED), None)
    shown = request_lines + (_exchange_lines(lines, end) if end is not None else [])
    shown.sort(key=lambda line: line.at_s)
    start_s = _start_s(request_lines, end)
    report = []
    for line in shown:
        offset = f"{line.at_s - start_s:+8.3f} s"
        report.append(f"{offset}  {line.source}  {line.message}  {line.details()}")
    report.append(_cause(end, shown))
    return report


def read_log(path):
    """Yield the lines of a log file that hold a JSON object; skip all others.

    Parameters
    ----------
    path : str

    Yields
    ------
    LogLine
    """
    with Path(path).open(errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(text[start:])
                at_s = datetime.strptime(fields["time"], TIME_FORMAT).timestamp()
            except (ValueError, KeyError, TypeError):
                continue
            prefix_words = text[:start].split()
            yield LogLine(at_s, prefix_words[-1] if prefix_words else Path(path).name, fields)


def _start_s(request_lines, end):
    if end is None:
        return request_lines[0].at_s
    return end.at_s - end.fields.get("held_s", 0.0)


def _exchange_lines(lines, end):
    """Return the log lines of exchanges that loaded or unloaded the requested model."""
    model = end.fields.get("model")
    if not model:
        return []
    window_start_s = end.at_s - end.fields.get("held_s", 0.0) - MODEL_WINDOW_S
    exchange_lines = []
    change_numbers = set()
    for line in lines:
        if line.message != EXCHANGE_DECIDED or not window_start_s <= line.at_s <= end.at_s:
            continue
        if model == line.fields.get("load") or model in line.fields.get("unload", ()):
            exchange_lines.append(line)
            change_numbers.add(line.fields.get("change"))
    for line in lines:
        if line.message == EXCHANGE_ENDED and line.fields.get("change") in change_numbers:
            exchange_lines.append(line)
    return exchange_lines


def _cause(end, shown):
    if end is None:
        return END_NOT_FOUND
    outcome = end.fields.get("outcome", "")
    sentences = [CAUSE_BY_OUTCOME.get(outcome, f"It ended as {outcome}.")]
    if end.fields.get("why"):
        sentences.append(f"The entry says: {end.fields['why']}.")
    attempts = [line for line in shown if line.message == "try ended"]
    if attempts:
        last = attempts[-1].fields
        sentences.append(
            f"{len(attempts)} tries ended without an answer, the last at {last.get('endpoint')}: "
            f"{last.get('outcome')} ({last.get('why')})."
        )
    loads = [
        line
        for line in shown
        if line.message == EXCHANGE_DECIDED and line.fields.get("load") == end.fields.get("model")
    ]
    if loads:
        last = loads[-1].fields
        sentences.append(
            f"Its model was coming to {last.get('endpoint')} from {last.get('source')}, decided "
            f"{end.at_s - loads[-1].at_s:.1f} s before the end."
        )
    elif outcome == "deadline_unreachable":
        sentences.append(
            "No exchange was decided for its model: what the engines held was worth more, or the "
            "logs of the leader are not among the files."
        )
    return " ".join(sentences)
