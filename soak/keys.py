"""Teams and keys of the soak's callers, and the rules that they check.

A statement reaches a target only on a connection whose START names the team
that holds the caller's key. A key that no configuration ever held is never
served; one that was taken away is not served once the bound is over, and one
that was added is served then.
"""
import contextlib
import random
import time

# A configuration is in force everywhere this long after it was written.
BOUND_S = 5
TEAMS = ("red", "blue", "green")
KEYS_PER_TEAM = 2


class Keys:
    """Which team held a key when, and the statements that were sent with it."""

    def __init__(self, seed):
        chance = random.Random(f"keys/{seed}")
        names = [f"{chance.getrandbits(64):016x}" for _ in range(
            len(TEAMS) * KEYS_PER_TEAM)]
        self.unknown = f"{chance.getrandbits(64):016x}"
        # Changes by key: when, and which team has it from then on.
        self.changes = {name: [(0, TEAMS[i % len(TEAMS)])]
                        for i, name in enumerate(names)}
        # Times in which hosts did not run, or the store answered none.
        self.disturbances = []
        self.sent = {}
        self.violations = []
        self.counts = {}

    def names(self):
        return sorted(self.changes)

    def everything(self):
        return self.names() + [self.unknown]

    def team(self, key):
        return self.changes[key][-1][1]

    def give(self, key, team):
        """Gives a key to a team, or takes it away if `team` is None."""
        self.changes[key].append((time.monotonic(), team))

    def tenants(self):
        """Returns the teams as an operator writes them."""
        return [{"name": team, "priority": 1, "rate_per_s": None,
                 "api_keys": [k for k in self.names() if self.team(k) == team]}
                for team in TEAMS]

    @contextlib.contextmanager
    def disturbance(self):
        """Surrounds a fault in which hosts cannot learn of changes."""
        entry = [time.monotonic(), float("inf")]
        self.disturbances.append(entry)
        try:
            yield
        finally:
            entry[1] = time.monotonic()

    def oldest_in_force(self, at):
        """Returns since when changes may not be in force everywhere."""
        since = at - BOUND_S
        for begin, end in sorted(self.disturbances, reverse=True):
            if begin < at and end > since:
                since = min(since, begin - BOUND_S)
        return since

    def holders(self, key, since, until):
        """Returns the teams that had a key at a time, None for nobody."""
        changes = self.changes.get(key, [(0, None)])
        found = {team for at, team in changes if since < at <= until}
        before = [team for at, team in changes if at <= since]
        return found | set(before[-1:])

    def send(self, ident, key, began):
        """Records that a statement is sent; `key` is None if it needs none."""
        self.sent[ident] = key, began

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def reach(self, ident, word):
        """Checks a statement at a target; `word` is the START's."""
        if ident not in self.sent:
            return
        key, began = self.sent[ident]
        if key is None:
            if word in TEAMS:
                self.violations.append(
                    f"{ident} of a public database ran for {word}")
            return
        holders = self.holders(key, self.oldest_in_force(began),
                               time.monotonic())
        self.count("statements of teams")
        if word not in holders:
            wanted = ", ".join(sorted(h or "nobody" for h in holders))
            self.violations.append(
                f"{ident} ran on a connection of {word}, its key is of "
                f"{wanted}")

    def refuse(self, key, began):
        """Checks that a caller's key was rightly refused."""
        self.count("refused keys")
        holders = self.holders(key, self.oldest_in_force(began),
                               time.monotonic())
        if None not in holders:
            self.violations.append(
                f"a key of {', '.join(sorted(holders))} was refused")

    def accept(self, key, began):
        """Checks that a session was rightly opened with a key."""
        holders = self.holders(key, self.oldest_in_force(began),
                               time.monotonic())
        if holders == {None}:
            self.violations.append("a key of nobody opened a session")

    def check_log(self, name, text):
        for key in self.everything():
            if key in text:
                self.violations.append(f"a key is in {name}")
