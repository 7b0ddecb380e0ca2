#!/usr/bin/env python3
"""Exhaustive model of the lease that lets one host send to a group's primary.

Explores all interleavings of three hosts, each of them a voter, and the key of
one group in the store by the rules of src/lease.c, src/lease_tick.c and
src/lease_grant.c. Checks that two hosts never serve at the same time. A host
may pause at any time (no step is forced), restart with the loss of its state,
and fail to reach the store or another host. A renewal may reach its voter
late.

Usage: lease_model.py RULE CHANGES [MAX_STATES]

CHANGES is the greatest number of changes of the holder.

RULE is "none", or the name of a rule to violate, which must be detected:

  none          the implemented rules
  no-wait       a new holder serves without waiting for the former one
  one-grant     the grant of one voter proves that the former holder stopped
  claims-quiet  a voter reports that it has granted nothing to other hosts
  grants-old    a voter grants renewals of earlier revisions
  unread        a restarted host grants renewals before it has read the key

Exit status: 1 after a violation, with the steps that lead to it; 0 if all
states were explored; 2 if the limit of states was reached.
"""
import sys
from collections import namedtuple

HOSTS = (0, 1, 2)
MAJORITY = 2
VALID = 2  # validity of a renewal in ticks
MAX_AGE = VALID + 1  # greatest age; higher ages are treated as equal
NONE, WAITING, SERVING = range(3)

Key = namedtuple("Key", "revision holder settled former")
# As holder, for each voter:
# renewals: age of the newest renewal that the voter granted
# others: time since the voter last granted another host's renewal, -1: unknown
# As voter:
# granted_*: revision, holder and age of the last grant
# others_age: time since the last grant to another holder
Host = namedtuple("Host", "role key read renewals others granted_revision "
                          "granted_to granted_age others_age")


def start():
    key = Key(1, 0, True, None)
    idle = Host(NONE, key, True, (MAX_AGE,) * 3, (-1,) * 3, 0, None, MAX_AGE,
                MAX_AGE)
    return (key, (idle._replace(role=SERVING), idle, idle))


class Limits:
    """Greatest revision of the key that is explored."""

    revision = 1


def replace_at(seq, i, v):
    return seq[:i] + (v,) + seq[i + 1:]


def increment_age(age):
    return min(age + 1, MAX_AGE) if age >= 0 else age


def tick(state):
    key, hosts = state
    return key, tuple(h._replace(
        renewals=tuple(increment_age(a) for a in h.renewals),
        others=tuple(increment_age(a) for a in h.others),
        granted_age=increment_age(h.granted_age),
        others_age=increment_age(h.others_age))
        for h in hosts)


def is_valid(hosts, i):
    """Whether host i serves: a majority including itself renewed its lease."""
    fresh = sum(1 for j in HOSTS if j != i and hosts[i].renewals[j] < VALID)
    return hosts[i].role == SERVING and fresh + 1 >= MAJORITY


def begin_waiting(host, i, key, rule):
    # This host is a former voter, too: its own grants count.
    own = host.granted_age
    if rule == "claims-quiet":
        own = MAX_AGE
    others = replace_at((-1,) * 3, i, own)
    stopped = key.settled or key.former == i
    if stopped or rule == "no-wait":
        others = (MAX_AGE,) * 3
    return host._replace(role=WAITING, key=key, read=True,
                         renewals=(MAX_AGE,) * 3, others=others)


def read_key(host, i, key):
    """Host i reads the key."""
    if key.holder == i:
        if host.role == NONE:
            return begin_waiting(host, i, key, "none")
        return host._replace(key=key, read=True)
    return host._replace(role=NONE, key=key, read=True)


def take_over(state, i, rule):
    key, hosts = state
    host = hosts[i]
    if host.key != key or key.holder == i or host.role != NONE or \
            key.revision >= Limits.revision:
        return None
    former = key.holder if key.settled else key.former
    key = Key(key.revision + 1, i, False, former)
    return key, replace_at(hosts, i, begin_waiting(host, i, key, rule))


def settle(state, i, rule):
    """Host i marks the key as settled, the former holder having stopped."""
    key, hosts = state
    host = hosts[i]
    needed = 1 if rule == "one-grant" else MAJORITY
    expired = sum(1 for age in host.others if age >= VALID)
    if host.role != WAITING or host.key != key:
        return None
    if not key.settled:
        if expired < needed or key.revision >= Limits.revision:
            return None
        key = key._replace(revision=key.revision + 1, settled=True,
                           former=None)
    return key, replace_at(hosts, i, host._replace(role=SERVING, key=key))


def is_granted(host, j, holder, revision, rule):
    if rule != "unread" and not host.read:
        return False
    if rule == "grants-old":
        return host.role == NONE
    if revision > host.key.revision:
        host = host._replace(role=NONE)
    return not (host.role != NONE or revision < host.granted_revision or
                (host.key.holder == j and host.key.revision >= revision) or
                (host.key.revision > revision and host.key.holder != holder))


def renew(state, i, j, late, rule):
    """Host j answers a renewal that host i sent `late` ticks ago."""
    key, hosts = state
    host, other = hosts[i], hosts[j]
    if host.role == NONE or \
            not is_granted(other, j, i, host.key.revision, rule):
        return None
    if other.granted_to != i:
        other = other._replace(others_age=other.granted_age)
    other = other._replace(
        role=NONE, granted_to=i, granted_age=0,
        granted_revision=max(host.key.revision, other.granted_revision))
    exclusive_age = MAX_AGE if rule == "claims-quiet" else other.others_age
    if host.role == WAITING and host.key.former == j:
        # A grant by the former holder proves that it has stopped.
        host = host._replace(others=(MAX_AGE,) * 3)
    else:
        host = host._replace(others=replace_at(host.others, j, exclusive_age))
    host = host._replace(
        renewals=replace_at(host.renewals, j, min(late, host.renewals[j])))
    return key, replace_at(replace_at(hosts, i, host), j, other)


def restart(state, i):
    key, hosts = state
    # An earlier process may have granted until this one started.
    fresh = Host(NONE, hosts[i].key, False, (MAX_AGE,) * 3, (-1,) * 3, 0,
                 None, 0, 0)
    return key, replace_at(hosts, i, fresh)


def steps(state, rule):
    key, hosts = state
    yield "a tick passes", tick(state)
    for i in HOSTS:
        name = f"host {i}"
        if hosts[i].key != key or not hosts[i].read:
            yield f"{name} reads the key", (
                key, replace_at(hosts, i, read_key(hosts[i], i, key)))
        yield f"{name} takes over the lease", take_over(state, i, rule)
        yield f"{name} settles the lease", settle(state, i, rule)
        yield f"{name} restarts", restart(state, i)
        for j in HOSTS:
            if j == i:
                continue
            for late in range(VALID + 1):
                yield (f"host {j} grants {name} a renewal sent {late} ticks "
                       "ago", renew(state, i, j, late, rule))


def explore(rule, limit):
    first = start()
    seen = {first: None}
    frontier = [first]
    while frontier:
        next_frontier = []
        for state in frontier:
            for name, after in steps(state, rule):
                if after is None or after in seen:
                    continue
                seen[after] = (state, name)
                serving = [i for i in HOSTS if is_valid(after[1], i)]
                if len(serving) > 1:
                    return seen, after, serving
                if len(seen) >= limit:
                    return seen, None, None
                next_frontier.append(after)
        frontier = next_frontier
    return seen, None, []


def main():
    rule = sys.argv[1]
    # Each change is a write that takes over the key and one that settles it.
    Limits.revision = 1 + 2 * int(sys.argv[2])
    limit = int(sys.argv[3]) if len(sys.argv) > 3 else 1000000
    seen, bad, serving = explore(rule, limit)
    if bad:
        path = []
        while seen[bad]:
            bad, name = seen[bad]
            path.append(name)
        for name in reversed(path):
            print("  " + name)
        print(f"lease, {rule}: hosts {serving} serve at once, "
              f"{len(seen)} states")
        return 1
    if serving is None:
        print(f"lease, {rule}: no violation up to the limit of {limit} states")
        return 2
    print(f"lease, {rule}: no violation in all {len(seen)} states")
    return 0


if __name__ == "__main__":
    sys.exit(main())
