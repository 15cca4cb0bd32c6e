"""Disk in memory that fails and loses what was not synced."""


class Crash(BaseException):
    """Raised by the disk to crash a member in the middle of a step."""


class MemoryFile:
    def __init__(self):
        self.data = b""
        self.durable = b""


class MemoryDisk:
    """An in-memory disk that loses unsynced data in a crash, like a host that loses power."""

    def __init__(self):
        self.file_by_name = {}
        self.durable_file_by_name = {}
        self.name_changes = []
        self.fault = None

    def names(self):
        return sorted(self.file_by_name)

    def read(self, name):
        return self.file_by_name[name].data

    def append(self, name, data):
        self._fail("append")
        if name not in self.file_by_name:
            self._rename(name, MemoryFile())
        self.file_by_name[name].data += data

    def sync(self, name):
        self._fail("sync")
        file = self.file_by_name[name]
        file.durable = file.data
        self._fail("after sync")

    def sync_folder(self):
        self._fail("sync folder")
        for name, file in self.name_changes:
            self._set(self.durable_file_by_name, name, file)
        self.name_changes.clear()

    def replace(self, name, data):
        file = MemoryFile()
        file.data = file.durable = data
        self._fail("append")
        self._rename(name, file)
        self.sync_folder()

    def truncate(self, name, length):
        file = self.file_by_name[name]
        file.data = file.durable = file.data[:length]

    def remove(self, name):
        if name in self.file_by_name:
            self._rename(name, None)

    def close_file(self, name):
        pass

    def close(self):
        pass

    @property
    def has_unsynced(self):
        return any(f.data != f.durable for n, f in self.file_by_name.items() if n.endswith("wal"))

    def crash(self, rng):
        """Keep the synced data and a random prefix of the unsynced data."""
        self.fault = None
        kept = rng.randint(0, len(self.name_changes))
        for name, file in self.name_changes[:kept]:
            self._set(self.durable_file_by_name, name, file)
        self.name_changes.clear()
        self.file_by_name = dict(self.durable_file_by_name)
        for file in self.file_by_name.values():
            torn = file.data[len(file.durable) :]
            file.data = file.durable + torn[: rng.randint(0, len(torn))]
            file.durable = file.data

    def _rename(self, name, file):
        self._set(self.file_by_name, name, file)
        self.name_changes.append((name, file))

    def _set(self, file_by_name, name, file):
        if file is None:
            file_by_name.pop(name, None)
        else:
            file_by_name[name] = file

    def _fail(self, place):
        if self.fault is not None and self.fault[0] == place:
            error = self.fault[1]
            self.fault = None
            raise error
