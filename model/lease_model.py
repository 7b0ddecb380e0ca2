#!/usr/bin/env python3
"""Exhaustive model of who may send to a group's primary.

Explores the interleavings of three hosts, all of them candidates, and the
store's key of one group by the rules of src/lease.c, src/lease_tick.c and
src/lease_grant.c, and checks that two hosts never serve at once. Hosts may
stand still at any time, since nobody has to act, restart and lose what they
knew, and not reach the store or each other. A renewal may reach its candidate
late.

Usage: lease_model.py RULE CHANGES [MAX_STATES]

CHANGES is how often the holder may change.

RULE breaks one rule on purpose, or is "none":

  none          the rules as built
  no-wait       a new holder serves without waiting for the former
  one-grant     one candidate's word shows that the former has stopped
  claims-quiet  a candidate claims that it granted nothing to others
  grants-old    a candidate grants to holders of earlier revisions
  unread        a host that has restarted grants before it reads the key

Prints the steps to a violation and exits with 1, or exits with 0 after the
last state, or with 2 at the limit of states.
"""
import sys
from collections import namedtuple

HOSTS = (0, 1, 2)
MAJORITY = 2
VALID = 2  # ticks for which a renewal lets its holder serve
OLD = VALID + 1  # ages are not told apart beyond this
NONE, WAITING, SERVING = range(3)

Key = namedtuple("Key", "revision holder settled former")
# renewals: for each host, the age of the last renewal that it granted
# others: for each host, the time for which it granted nothing to others, or -1
# granted: revision and holder of the last grant, and its age; others_age: the
# time since the last grant to another holder
Host = namedtuple("Host", "role key read renewals others granted_revision "
                          "granted_to granted_age others_age")


def start():
    key = Key(1, 0, True, None)
    idle = Host(NONE, key, True, (OLD,) * 3, (-1,) * 3, 0, None, OLD, OLD)
    return (key, (idle._replace(role=SERVING), idle, idle))


class Limits:
    """Changes of the key that are explored."""

    revision = 1


def put(seq, i, v):
    return seq[:i] + (v,) + seq[i + 1:]


def older(age):
    return min(age + 1, OLD) if age >= 0 else age


def tick(state):
    key, hosts = state
    return key, tuple(h._replace(
        renewals=tuple(older(a) for a in h.renewals),
        others=tuple(older(a) for a in h.others),
        granted_age=older(h.granted_age), others_age=older(h.others_age))
        for h in hosts)


def is_valid(hosts, i):
    """Whether host i serves: a majority, itself counted, renewed it."""
    fresh = sum(1 for j in HOSTS if j != i and hosts[i].renewals[j] < VALID)
    return hosts[i].role == SERVING and fresh + 1 >= MAJORITY


def begin_waiting(host, i, key, rule):
    # What this host granted to others counts, too.
    own = host.granted_age
    others = put((-1,) * 3, i, OLD if rule == "claims-quiet" else own)
    stopped = key.settled or key.former == i
    if stopped or rule == "no-wait":
        others = (OLD,) * 3
    return host._replace(role=WAITING, key=key, read=True,
                         renewals=(OLD,) * 3, others=others)


def learn(host, i, key):
    """Host i reads the key."""
    if key.holder == i:
        if host.role == NONE:
            return begin_waiting(host, i, key, "none")
        return host._replace(key=key, read=True)
    return host._replace(role=NONE, key=key, read=True)


def take(state, i, rule):
    key, hosts = state
    host = hosts[i]
    if host.key != key or key.holder == i or host.role != NONE or \
            key.revision >= Limits.revision:
        return None
    former = key.holder if key.settled else key.former
    key = Key(key.revision + 1, i, False, former)
    return key, put(hosts, i, begin_waiting(host, i, key, rule))


def settle(state, i, rule):
    """The former has stopped: the key says so, and the host serves."""
    key, hosts = state
    host = hosts[i]
    needed = 1 if rule == "one-grant" else MAJORITY
    quiet = sum(1 for age in host.others if age >= VALID)
    if host.role != WAITING or host.key != key:
        return None
    if not key.settled:
        if quiet < needed or key.revision >= Limits.revision:
            return None
        key = key._replace(revision=key.revision + 1, settled=True,
                           former=None)
    return key, put(hosts, i, host._replace(role=SERVING, key=key))


def grants(host, j, holder, revision, rule):
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
            not grants(other, j, i, host.key.revision, rule):
        return None
    if other.granted_to != i:
        other = other._replace(others_age=other.granted_age)
    other = other._replace(
        role=NONE, granted_to=i, granted_age=0,
        granted_revision=max(host.key.revision, other.granted_revision))
    quiet = OLD if rule == "claims-quiet" else other.others_age
    if host.role == WAITING and host.key.former == j:
        host = host._replace(others=(OLD,) * 3)  # the former has stopped
    else:
        host = host._replace(others=put(host.others, j, quiet))
    host = host._replace(
        renewals=put(host.renewals, j, min(late, host.renewals[j])))
    return key, put(put(hosts, i, host), j, other)


def restart(state, i):
    key, hosts = state
    # An earlier process may have granted until this one began.
    fresh = Host(NONE, hosts[i].key, False, (OLD,) * 3, (-1,) * 3, 0, None, 0,
                 0)
    return key, put(hosts, i, fresh)


def steps(state, rule):
    key, hosts = state
    yield "a tick passes", tick(state)
    for i in HOSTS:
        name = f"host {i}"
        if hosts[i].key != key or not hosts[i].read:
            yield f"{name} reads the key", (
                key, put(hosts, i, learn(hosts[i], i, key)))
        yield f"{name} takes the group", take(state, i, rule)
        yield f"{name} settles", settle(state, i, rule)
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
        following = []
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
                following.append(after)
        frontier = following
    return seen, None, []


def main():
    rule = sys.argv[1]
    # Each change is a write that takes the group and one that settles it.
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
        print(f"hold, {rule}: hosts {serving} serve at once, "
              f"{len(seen)} states")
        return 1
    if serving is None:
        print(f"hold, {rule}: holds up to the limit of {limit} states")
        return 2
    print(f"hold, {rule}: holds in all {len(seen)} states")
    return 0


if __name__ == "__main__":
    sys.exit(main())
