"""Let calls to plain services wait and run, apart from the models."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.services.lane import Lane


class Services:
    """Let calls to plain services wait and run, apart from the models.

    Parameters
    ----------
    coordinator : RequestCoordinator
    client : ServiceClient
    random_source : random.Random

    Attributes
    ----------
    client : ServiceClient
    """

    def __init__(self, coordinator, client, random_source):
        self.client = client
        self._coordinator = coordinator
        self._random = random_source
        self._lane_by_name = {}

    def enqueue(self, call):
        """Let a call wait for room, or refuse it.

        Parameters
        ----------
        call : ServiceCall
        """
        row = self._row(call.service)
        if row is None:
            call.refuse(Refusal.of(ErrorKind.UNKNOWN_SERVICE, f"no service {call.service!r}"))
            return
        lane = self.lane(call.service)
        refusal = lane.admit(row, call.request, self._coordinator.clock.seconds())
        if refusal is not None:
            call.refuse(refusal)
            return
        if call.core.state == "received":
            call.life.wait()
        self._pump(call.service)

    def leave(self, call):
        """Take a call out of its queue; nothing happens where it does not wait.

        Parameters
        ----------
        call : ServiceCall
        """
        self.lane(call.service).leave(call.request)

    def has_room(self, service):
        """Tell whether one more call may be in flight.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
        """
        row = self._row(service)
        return row is not None and self.lane(service).in_flight < row.most_in_flight

    def take_instance(self, call, avoided):
        """Choose an instance and count a call onto it.

        Parameters
        ----------
        call : ServiceCall
        avoided : set of str

        Returns
        -------
        str
            The instance's base URL.
        """
        now = self._coordinator.clock.seconds()
        lane = self.lane(call.service)
        url = lane.picker.choose(self._row(call.service).urls, now, avoided)
        lane.picker.taken(url, now)
        lane.started(call.request)
        return url

    def release(self, call, url, outcome):
        """Count a call off its instance and start what waits for the room.

        Parameters
        ----------
        call : ServiceCall
        url : str
        outcome : Outcome
        """
        lane = self.lane(call.service)
        lane.ended(call.request)
        lane.picker.released(url, outcome, self._coordinator.clock.seconds())
        self._pump(call.service)

    def lane(self, service):
        """Return a service's lane.

        Parameters
        ----------
        service : str

        Returns
        -------
        Lane
        """
        lane = self._lane_by_name.get(service)
        if lane is None:
            lane = Lane(self._coordinator.settings, self._random)
            self._lane_by_name[service] = lane
        return lane

    def _pump(self, service):
        row = self._row(service)
        if row is None:
            return
        now = self._coordinator.clock.seconds()
        lane = self.lane(service)
        request = lane.next(row, now)
        while request is not None:
            self._coordinator.exchange(request.request_id).run()
            request = lane.next(row, now)

    def _row(self, service):
        return self._coordinator.link.table.service_by_name.get(service)
