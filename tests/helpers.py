"""A door that records, settings to start from, and a fleet to place calls on."""
from bellrack import model
from bellrack.choice import Balancer
from bellrack.model import Call, Leg, Result, Server, Settings, TrafficType


def settings(**changes) -> Settings:
    base = {
        "types": [TrafficType(model.REPEATABLE, "all", 0.0, 0.3, 0.1)], "zone": 0, "peers": 1, "asks": True,
        "max_legs": 3, "max_open_wait": 1.5, "tick": 0.004, "answer_slack": 0.016, "cold_share": 0.2,
        "ramp_time": 20.0}
    return Settings(**(base | changes))


class Bench:
    """Keeps the books of a host, as the adapter does, and lets a test play the world."""

    def __init__(self, rules: Settings, seed: int = 7):
        self.now, self.rules, self.wakes, self.done, self.logs = 100.0, rules, [], [], []
        self.sent, self.moved, self.watched = [], [], 0
        self.rack = Balancer(rules, seed, self)

    def send(self, call, server, until):
        leg = Leg(call, server, self.now)
        call.legs.append(leg)
        self.sent.append((leg, until))
        return leg

    def reject(self, call, wait=0.0):
        self.end(call, "rejected")

    def release(self, call):
        self.end(call, "released")

    def end(self, call, how):
        assert not call.done, "a second final answer"
        call.done = True
        self.done.append((call, how, self.now))

    def move(self, call):
        self.moved.append(call)

    def watch(self, on=True):
        self.watched += 1

    def wake(self, when, what):
        self.wakes.append((when, what))

    def log(self, text):
        self.logs.append(text)

    def fleet(self, *zones, **fields) -> list[Server]:
        servers = [Server(mark * 77 + 5, zone, **fields) for mark, zone in enumerate(zones)]
        self.rack.listed(servers)
        return servers

    def call(self, group=0, kind=0, guard=3.0) -> Call:
        call = Call(self.rules.types[kind], self.now + guard, self.now, group=group)
        self.rack.arrived(call)
        return call

    def stand(self, leg):
        leg.standing = True
        self.rack.stands(leg)

    def back(self, leg, kind):
        leg.result = Result(kind)
        if kind == model.COMPLETED or leg.standing:
            leg.call.done = True
        self.rack.back(leg, leg.result)

    def run(self, until):
        """Time passes; wakes that fall due come in order."""
        while due := [wake for wake in self.wakes if wake[0] <= until]:
            first = min(due, key=lambda wake: wake[0])
            self.wakes.remove(first)
            self.now = max(self.now, first[0])
            self.rack.woke(first[1])
        self.now = max(self.now, until)
