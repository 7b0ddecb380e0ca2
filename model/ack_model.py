#!/usr/bin/env python3
"""Exhaustive model of promotion and acknowledgement.

Explores every interleaving of three targets, two promoters and a few writes
under the rules of src/confirm.c, src/promotion.c and docs/TARGETS.md, and
checks these invariants:

  - a target that becomes primary has every write that was acknowledged for its
    position in a lower term,
  - a write is never acknowledged if its primary committed it after a primary
    of a higher term had been promoted,
  - a term has at most one primary.

Usage: ack_model.py RULE START WRITES [MAX_STATES]

RULE names the rule to break, or is "none":

  none           the rules as implemented
  early-probe    a reply to a probe sent before the commit counts
  minority       promotion after fencing a single target
  second-choice  after a promotion without an answer, another target is
                 promoted in the same term
  bare-position  promotion compares positions without log terms
  count-only     confirmation compares positions without the log's term

START is the initial state: "new" (a primary of term 1, with equal logs) or
"lagging" (the replicas lack the last two entries of the primary's log).
WRITES is the maximum number of further writes.

Exits with 1 after printing the steps to a violation, with 0 if no state
violates an invariant, or with 2 if none did up to MAX_STATES.
"""
import sys
from itertools import combinations

TARGETS = (0, 1, 2)
MAJORITY = 2
MAX_TERM = 3
TERM_START = -1  # first entry of a term, appended by its new primary
NOTHING, FOR_TERM, FOR_POSITION = range(3)  # confirmation by a replica

# The parts of a state:
# target: (term, promoter that fenced it in that term or None, is primary,
#         log); the log is a tuple of (term, write).
# write:  (target, term, position, confirmed by the primary, confirmation by a
#         replica, stale); stale: a primary of a higher term had been promoted
#         before it.  A write counts as acknowledged once a majority, the
#         primary and one replica, has confirmed it.
# promoter: (term, reports of fenced targets, chosen targets); a report is
#         (target, last log term, length).
# command: a promotion (promoter, term, target), which may arrive at any later
#         time, and repeatedly.  Promoter 0 may use terms 2 and 3, promoter 1
#         term 3.


def replaced_at(seq, i, v):
    return seq[:i] + (v,) + seq[i + 1:]


def last_term(log):
    return log[-1][0] if log else 0


def common_prefix_length(a, b):
    n = 0
    while n < len(a) and n < len(b) and a[n] == b[n]:
        n += 1
    return n


class Model:
    def __init__(self, rule, start, writes):
        self.rule = rule
        self.writes = writes
        short = ((1, TERM_START),)
        log = short
        if start == "lagging":
            log += ((1, TERM_START - 1), (1, TERM_START - 2))
        targets = ((1, None, True, log), (1, None, False, short),
                   (1, None, False, short))
        self.initial = (targets, (), ((1, (), ()), (2, (), ())), ())

    def successors(self, state):
        yield from self.commits(state)
        yield from self.replication(state)
        yield from self.confirmations(state)
        yield from self.promoters(state)
        yield from self.deliveries(state)

    def commits(self, state):
        targets, writes, promoters, commands = state
        if len(writes) == self.writes:
            return
        for i in TARGETS:
            term, fenced_by, primary, log = targets[i]
            if not primary:
                continue
            stale = any(t[2] and t[0] > term for t in targets) or any(
                e[0] > term for t in targets for e in t[3])
            # A probe that was sent before the commit found every target in
            # term 1, the initial term.
            confirmed_early = self.rule == "early-probe" and term == 1
            new = (term, fenced_by, True, log + ((term, len(writes)),))
            after = replaced_at(targets, i, new)
            write = (i, term, len(log) + 1, confirmed_early,
                     FOR_TERM if confirmed_early else NOTHING, stale)
            yield after, writes + (write,), promoters, commands

    def replication(self, state):
        targets, writes, promoters, commands = state
        for i in TARGETS:
            term, _, primary, log = targets[i]
            if not primary:
                continue
            for j in TARGETS:
                jterm, fenced_by, jprimary, jlog = targets[j]
                if j == i or jterm > term or (jterm == term and jprimary):
                    continue
                if jterm < term:  # commanded to follow: adopts the term
                    new = (term, None, False, jlog)
                else:
                    # The follower truncates a diverging suffix.
                    n = common_prefix_length(jlog, log)
                    if n == len(log):
                        continue
                    new = (jterm, fenced_by, False, log[:n + 1])
                yield replaced_at(targets, j, new), writes, promoters, commands

    def confirmations(self, state):
        targets, writes, promoters, commands = state
        for w, write in enumerate(writes):
            i, term, position, by_primary, by_replica, stale = write
            for j in TARGETS:
                jterm, _, jprimary, jlog = targets[j]
                if jterm != term:
                    continue
                has_entry = len(jlog) >= position and (
                    self.rule == "count-only" or last_term(jlog) == term)
                confirmation = FOR_POSITION if has_entry else FOR_TERM
                if j == i and jprimary and not by_primary:
                    new = write[:3] + (True, by_replica, stale)
                elif j != i and confirmation > by_replica:
                    new = write[:3] + (by_primary, confirmation, stale)
                else:
                    continue
                yield targets, replaced_at(writes, w, new), promoters, commands

    def promoters(self, state):
        promoters = state[2]
        for k, (term, fenced, chosen) in enumerate(promoters):
            if term > 1 + k:
                yield from self.fences(state, k, term, fenced, chosen)
                yield from self.choose(state, k, term, fenced, chosen)
            for higher in range(term + 1, MAX_TERM + 1):  # starts over
                yield from self.fences(state, k, higher, (), ())

    def fences(self, state, k, term, fenced, chosen):
        """Delivers a fence.  A lost answer needs no separate state, because
        choices() considers every subset of the answers."""
        targets, writes, promoters, commands = state
        for j in TARGETS:
            jterm, fenced_by, primary, jlog = targets[j]
            if jterm > term or (jterm == term and fenced_by != k):
                continue
            after = replaced_at(targets, j, (term, k, False, jlog))
            if not chosen and not any(r[0] == j for r in fenced):
                report = (j, last_term(jlog), len(jlog))
                new = (term, tuple(sorted(fenced + (report,))), ())
                yield after, writes, replaced_at(promoters, k, new), commands
            elif primary and jlog.count((term, TERM_START)) == 1:
                # A repeated fence that arrives late demotes the primary that
                # the promoter made.
                yield after, writes, promoters, commands

    def choose(self, state, k, term, fenced, chosen):
        targets, writes, promoters, commands = state
        for j in self.choices(fenced, chosen):
            remaining = fenced if self.rule == "second-choice" else ()
            new = (term, remaining, tuple(sorted(chosen + (j,))))
            sent = tuple(sorted(set(commands) | {(k, term, j)}))
            yield targets, writes, replaced_at(promoters, k, new), sent

    def choices(self, fenced, chosen):
        """Returns the targets that the promoter may choose."""
        need = 1 if self.rule == "minority" else MAJORITY
        if chosen and self.rule != "second-choice":
            return ()
        found = set()
        for size in range(need, len(fenced) + 1):
            for subset in combinations(fenced, size):
                candidates = [r for r in subset if r[0] not in chosen]
                best = max(map(self.rank, candidates), default=None)
                found |= {r[0] for r in candidates if self.rank(r) == best}
        return sorted(found)

    def rank(self, report):
        _, term, length = report
        return (length,) if self.rule == "bare-position" else (term, length)

    def deliveries(self, state):
        targets, writes, promoters, commands = state
        for k, term, j in commands:
            jterm, fenced_by, jprimary, jlog = targets[j]
            if jterm == term and fenced_by == k and not jprimary:
                new = (term, k, True, jlog + ((term, TERM_START),))
                yield replaced_at(targets, j, new), writes, promoters, commands


def violation(state):
    targets, writes = state[0], state[1]
    for w, (_, term, _, by_primary, by_replica, stale) in enumerate(writes):
        if stale and by_primary and by_replica != NOTHING:
            return f"write {w} of a replaced primary acknowledged"
        if not by_primary or by_replica != FOR_POSITION:
            continue
        for jterm, _, primary, log in targets:
            if primary and jterm > term and (term, w) not in log:
                return f"acknowledged write {w} lost in term {jterm}"
    terms = [t[0] for t in targets if t[2]]
    if len(terms) != len(set(terms)):
        return "two primaries in one term"
    return None


def explore(model, max_states):
    """Returns (violation or None, steps to it, states, all were explored)."""
    seen = {model.initial: None}
    frontier = [model.initial]
    while frontier:
        next_frontier = []
        for state in frontier:
            for successor in model.successors(state):
                if successor in seen:
                    continue
                seen[successor] = state
                violated = violation(successor)
                if violated:
                    steps = [successor]
                    while seen[steps[-1]] is not None:
                        steps.append(seen[steps[-1]])
                    return violated, steps[::-1], len(seen), False
                next_frontier.append(successor)
        frontier = next_frontier
        if len(seen) > max_states:
            return None, [], len(seen), False
    return None, [], len(seen), True


def main():
    rule, start, writes = sys.argv[1], sys.argv[2], int(sys.argv[3])
    limit = int(sys.argv[4]) if len(sys.argv) > 4 else 1_000_000
    model = Model(rule, start, writes)
    violated, steps, states, complete = explore(model, limit)
    if violated:
        for step in steps:
            print(" ", step)
        print(f"{rule}, {start}: {violated} after {len(steps) - 1} steps,"
              f" {states} states")
        return 1
    print(f"{rule}, {start}: holds in {states} states"
          f" ({'all' if complete else 'up to the limit'})")
    return 0 if complete else 2


if __name__ == "__main__":
    sys.exit(main())
