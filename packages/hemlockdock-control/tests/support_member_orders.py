"""Random orders of losses, stops and replacements of control hosts, within what is tolerated."""

from dataclasses import dataclass

CATCH_UP_MS = 4_000.0
GRACE_MS = 8_000.0
RECOVER_MS = 12_000.0
NEVER_MS = float("inf")
GAPS_MS = (0.0, 10.0, 30.0, 60.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 4_000.0)
START_DELAYS_MS = (300.0, 1_000.0, 2_000.0)


@dataclass(slots=True)
class Place:
    """A place of the core, which one host after the other holds.

    Attributes
    ----------
    host : SimulatedHost
        The one that holds the place, or has held it last.
    lost_until_ms : float
        Until when the place counts as lost.
    successor : SimulatedHost or None
        The host of a planned replacement, started before the other one stops.
    successor_since_ms : float
        When the successor started.
    """

    host: object
    lost_until_ms: float = 0.0
    successor: object = None
    successor_since_ms: float = NEVER_MS


class MemberOrders:
    """Plays one order, drawn from the fleet's random source.

    Parameters
    ----------
    fleet : FleetSimulation

    Attributes
    ----------
    history : list of str
        What was done, with simulated times.
    """

    def __init__(self, fleet):
        self.history = []
        self._fleet = fleet
        self._rng = fleet.rng
        self._places = [Place(host) for host in fleet.host_by_ip.values()]
        self._due = []

    def play(self, steps):
        """Found the cluster, play a number of steps, and wait until all losses are over."""
        for place in self._places:
            place.host.start(first_start=True)
        self._wait(3_000.0)
        self._fleet.on_start = self._list_seeds
        operations = (
            self._kill,
            self._kill,
            self._restart,
            self._wipe,
            self._cut,
            self._plan,
            self._plan,
            self._complete_plan,
            self._complete_plan,
            self._complete_plan,
            self._transfer,
            self._kill_joining,
            self._kill_all,
        )
        for _ in range(steps):
            self._rng.choice(operations)()
            self._wait(self._rng.choice(GAPS_MS))
        while self._due:
            self._wait(500.0)
        self._wait(RECOVER_MS)

    def hosts(self):
        """Return the hosts that hold the places."""
        return [place.host for place in self._places]

    def _kill(self):
        place = self._sound_place()
        if place is None:
            return
        self._note("kill", place.host)
        place.host.kill()
        self._replace(place)

    def _restart(self):
        place = self._sound_place()
        if place is None:
            return
        self._note("restart", place.host)
        place.lost_until_ms = NEVER_MS
        self._stop(place.host, lambda: self._start_later(place))

    def _wipe(self):
        place = self._sound_place()
        if place is None:
            return
        self._note("wipe", place.host)
        place.host.kill()
        place.host.wipe()
        place.lost_until_ms = NEVER_MS
        self._start_later(place)

    def _cut(self):
        place = self._sound_place()
        if place is None:
            return
        self._note("cut", place.host)
        place.host.is_cut = True
        place.lost_until_ms = NEVER_MS
        self._later(self._rng.choice((100.0, 1_000.0, 3_000.0)), lambda: self._join(place))

    def _plan(self):
        place = self._rng.choice(self._places)
        if place.successor is not None:
            return
        place.successor = self._fleet.add_host()
        place.successor.start()
        place.successor_since_ms = self._fleet.now_ms
        self._note(f"successor of {place.host.ip}:", place.successor)

    def _complete_plan(self):
        """Stop a host whose successor has caught up; from now on it doesn't count."""
        for place in self._places:
            old = place.host
            is_due = self._fleet.now_ms - place.successor_since_ms >= CATCH_UP_MS
            if not is_due or self._is_lost(place):
                continue
            self._note("planned stop", old)
            place.host = place.successor
            place.successor = None
            place.successor_since_ms = NEVER_MS
            self._stop(old, lambda: None)
            return

    def _transfer(self):
        leader = self._fleet.leader()
        if leader is not None:
            self._note("transfer", leader)
            leader.transfer()

    def _kill_joining(self):
        """Kill a host whose disk has not been there for as long as it takes to catch up."""
        for place in self._places:
            host = place.host
            is_joining = self._fleet.now_ms - host.disk_since_ms < CATCH_UP_MS
            if self._is_lost(place) and is_joining and host.is_up and host.stopped is None:
                self._note("kill the joining", host)
                host.kill()
                self._replace(place)
                return

    def _kill_all(self):
        if self._rng.random() < 0.7:
            return
        self._note("kill all", None)
        for place in self._places:
            if self._is_lost(place):
                back_ms = self._fleet.now_ms + START_DELAYS_MS[1]
                place.lost_until_ms = max(place.lost_until_ms, back_ms + CATCH_UP_MS)
            for host in (place.host, place.successor):
                if host is not None and host.is_up and host.stopped is None:
                    host.kill()
                    self._later(
                        self._rng.choice(START_DELAYS_MS[:2]), lambda host=host: self._back(host)
                    )

    def _list_seeds(self):
        """Let the settings of a host that starts name hosts of the core, those that run first."""
        listed = sorted(self.hosts(), key=lambda host: not host.is_up)
        self._fleet.seeds = [host.ip for host in listed[:3]]

    def _sound_place(self):
        """Return a place that may be lost now, or None."""
        lost = sum(self._is_lost(place) for place in self._places)
        if lost >= self._fleet.loss_limit:
            return None
        sound = [place for place in self._places if not self._is_lost(place) and place.host.is_up]
        return self._rng.choice(sound) if sound else None

    def _is_lost(self, place):
        return self._fleet.now_ms < place.lost_until_ms

    def _replace(self, place):
        place.lost_until_ms = NEVER_MS
        if place.successor is not None:
            place.host = place.successor
            place.successor = None
            # Nobody can know who of them was to leave, so the loss counts for a while.
            place.lost_until_ms = self._fleet.now_ms + CATCH_UP_MS
            place.successor_since_ms = NEVER_MS
            return
        place.host = self._fleet.add_host()
        self._start_later(place)

    def _start_later(self, place):
        self._later(self._rng.choice(START_DELAYS_MS), lambda: self._start(place))

    def _start(self, place):
        place.host.start()
        place.lost_until_ms = self._fleet.now_ms + CATCH_UP_MS
        self._note("start", place.host)

    def _back(self, host):
        if not host.is_up:
            self._note("back", host)
            host.start()

    def _join(self, place):
        place.host.is_cut = False
        place.lost_until_ms = self._fleet.now_ms + CATCH_UP_MS
        self._note("joined", place.host)

    def _stop(self, host, on_end):
        host.stop()
        if not host.is_up:
            on_end()
            return
        host.stopped.addCallback(lambda _: self._ended(host, on_end))
        self._later(GRACE_MS, lambda: self._kill_after_grace(host, on_end))

    def _ended(self, host, on_end):
        self._note("stopped", host)
        on_end()

    def _kill_after_grace(self, host, on_end):
        if host.is_up and host.stopped is not None:
            self._note("grace is over", host)
            host.kill()
            on_end()

    def _later(self, delay_ms, work):
        self._due.append((self._fleet.now_ms + delay_ms, work))

    def _wait(self, ms):
        end_ms = self._fleet.now_ms + ms
        while True:
            due = [item for item in self._due if item[0] <= self._fleet.now_ms]
            self._due = [item for item in self._due if item[0] > self._fleet.now_ms]
            for _, work in due:
                work()
            if self._fleet.now_ms >= end_ms:
                return
            self._fleet.run(10.0)

    def _note(self, text, host):
        ip = host.ip if host is not None else ""
        self.history.append(f"{self._fleet.now_ms / 1_000:.2f} {text} {ip}")
