"""Current manifest and the numbers accepted so far."""

import hashlib
from dataclasses import dataclass

from hemlockdock_control.state.manifest_rows import manifest_rows, model_row
from hemlockdock_control.state.refusals import conflict, refused
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, InvalidInputError
from hemlockdock_core.manifest import parse_manifest

MAX_ACCEPTED_NUMBERS = 10_000
MANIFEST_PREFIXES = ("manifest", "class", "model", "adapter", "service")


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Number, digest and revision of an accepted manifest.

    Attributes
    ----------
    number : int
    digest : str
    revision : int
    """

    number: int
    digest: str
    revision: int


class Manifests:
    """Current manifest, replaced only by one with a higher number.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    current : hemlockdock_core.manifest.Manifest or None
    revision : int
        Revision at which the current manifest was accepted.
    accepted_at_ms : int
    accepted_by_number : dict of int to Acceptance
    load_ms_by_version : dict of str to int
        Moving average of load durations by ``model/version``, in milliseconds.
    """

    def __init__(self, context):
        self._context = context
        self.current = None
        self.body = b""
        self.revision = 0
        self.accepted_at_ms = 0
        self.accepted_by_number = {}
        self.load_ms_by_version = {}
        self._rebuild_indexes()

    def submit(self, command):
        """Make a manifest current if its number is higher than the current one.

        Parameters
        ----------
        command : SubmitManifest

        Returns
        -------
        CommandResult
            Resubmitting an accepted manifest returns the original result.
        """
        index = self._context.index
        earlier = self.accepted_by_number.get(command.number)
        if earlier is not None:
            return self._resubmission_result(earlier, command)
        if self.current is not None and command.number < self.current.number:
            message = f"number {command.number} is older than {self.current.number} in force"
            return conflict(index, message)
        try:
            manifest = parse_manifest(command.body, "manifest")
        except InvalidInputError as error:
            return refused(index, ErrorKind.BAD_REQUEST, str(error))
        if manifest.number != command.number or _digest(command.body) != command.digest:
            return refused(index, ErrorKind.BAD_REQUEST, "number and digest of the very body")
        self._accept(manifest, command)
        return CommandResult(index, state="accepted")

    def restore(self, body, revision, accepted_at_ms, accepted, load_ms_by_version):
        """Restore the manifest and all records from a snapshot.

        Parameters
        ----------
        body : bytes
            Empty if there is no current manifest.
        revision : int
        accepted_at_ms : int
        accepted : list of Acceptance
        load_ms_by_version : dict of str to int
        """
        self.body = body
        self.current = parse_manifest(body, "snapshot") if body else None
        self.revision = revision
        self.accepted_at_ms = accepted_at_ms
        self.accepted_by_number = {item.number: item for item in accepted}
        self.load_ms_by_version = dict(load_ms_by_version)
        self._rebuild_indexes()

    def record_load(self, model, version, took_ms):
        """Update the average load duration of a model version.

        Parameters
        ----------
        model, version : str
        took_ms : int
        """
        name = f"{model}/{version}"
        before = self.load_ms_by_version.get(name, took_ms)
        self.load_ms_by_version[name] = (before + took_ms) // 2
        current_model = self.model_by_name.get(model)
        if current_model is not None:
            self._context.put(model_row(current_model, self.load_ms_by_version))

    def version(self, model, version):
        """Return a version of a model from the current manifest, or None.

        Parameters
        ----------
        model, version : str

        Returns
        -------
        hemlockdock_core.manifest.Version or None
        """
        return self.version_by_name.get((model, version))

    def _resubmission_result(self, earlier, command):
        if earlier.digest == command.digest:
            return CommandResult(earlier.revision, state="accepted")
        message = f"number {command.number} was accepted with digest {earlier.digest}"
        return conflict(self._context.index, message)

    def _accept(self, manifest, command):
        context = self._context
        before = self.current
        self.current = manifest
        self.body = command.body
        self.revision = context.index
        self.accepted_at_ms = context.now_ms
        self._add_acceptance(Acceptance(command.number, command.digest, context.index))
        self._rebuild_indexes()
        self._put_rows(manifest, command.digest)
        before_text = f"number {before.number}" if before else "none"
        after_text = f"number {command.number} digest {command.digest}"
        context.record(command.who, "manifest", manifest.deployment, before_text, after_text)

    def _add_acceptance(self, acceptance):
        self.accepted_by_number[acceptance.number] = acceptance
        while len(self.accepted_by_number) > MAX_ACCEPTED_NUMBERS:
            # Accepted numbers only increase, so the first key is the lowest.
            del self.accepted_by_number[next(iter(self.accepted_by_number))]

    def _put_rows(self, manifest, digest):
        rows = manifest_rows(manifest, digest, self.load_ms_by_version)
        keys = {row.key for row in rows}
        for key in list(self._context.changes.row_by_key):
            if key.partition("/")[0] in MANIFEST_PREFIXES and key not in keys:
                self._context.delete(key)
        for row in rows:
            self._context.put(row)

    def _rebuild_indexes(self):
        self.model_by_name = {}
        self.adapter_by_name = {}
        self.version_by_name = {}
        self.class_by_name = {}
        self.group_by_name = {}
        if self.current is None:
            return
        self.adapter_by_name = {item.name: item for item in self.current.adapters}
        self.class_by_name = {item.name: item for item in self.current.request_classes}
        self.group_by_name = {item.name: item for item in self.current.endpoint_groups}
        for model in self.current.models:
            self.model_by_name[model.name] = model
            for version in model.versions:
                self.version_by_name[(model.name, version.name)] = version


def _digest(body):
    # The digest of a manifest is computed from its canonical JSON, which is the body.
    return hashlib.sha256(body).hexdigest()
