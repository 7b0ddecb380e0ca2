#!/usr/bin/env python3
"""Computes the tables of docs/CAPACITY.md from bench/slopes.json.

  capacity.py --check         fail if the page differs from the slopes
  capacity.py --write         write the tables into the page
  capacity.py --import FILE   import the JSON lines of a bench into the slopes
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "bench" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: {} -->"
END = "<!-- end: {} -->"

HOSTS = 3600
DATA_CENTRES = 24
GROUPS = 6100
TARGETS_PER_GROUP = 3
CONNECTIONS = 12_000_000
STATEMENTS_PER_S = 1_200_000
CHANGES_PER_DAY = 6300
PRIMARY_CHANGES_PER_DAY = 11
RESTARTS_PER_DAY = 3500
FAILURES_PER_DAY = 10
MEMBER_CHANGES_PER_RESTART = 3
WATCHERS_PER_GROUP = 3
READ_SHARE = 0.7
CONNECTIONS_PER_TARGET = 55
REPORT_PERIOD_S = 10
DAY_S = 86400
LIMIT_BYTES_PER_S = 18_000
LIMIT_MEMORY_BYTES = 256_000_000
LIMIT_PROCESSOR_PERCENT = 3.6
NOT_MEASURED = "not measured"


class Slopes:
    """Measured slopes; a missing slope makes results that need it None."""

    def __init__(self, data):
        self.data = data

    def at(self, bench, hosts, *path):
        for row in self.data.get(bench, []):
            if row["hosts"] == hosts:
                return lookup(row, path)
        return None

    def get(self, section, name):
        return self.data.get(section, {}).get(name)


def lookup(row, path):
    for name in path:
        row = row.get(name) if row else None
    return row


def total(*terms):
    return None if any(term is None for term in terms) else sum(terms)


def scale(factor, value):
    return None if value is None else factor * value


def show(value, unit="", digits=0):
    if value is None:
        return NOT_MEASURED
    text = f"{value:,.{digits}f}"
    return f"{text} {unit}" if unit else text


def member_changes_per_s():
    per_day = (RESTARTS_PER_DAY * MEMBER_CHANGES_PER_RESTART
               + FAILURES_PER_DAY * MEMBER_CHANGES_PER_RESTART)
    return per_day / DAY_S


def host_bytes_per_s(slopes):
    changes = CHANGES_PER_DAY / DAY_S
    restarts = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S
    return total(
        slopes.at("propagation", HOSTS, "idle_bytes_per_s"),
        scale(changes, slopes.at("propagation", HOSTS, "change_bytes")),
        scale(restarts, slopes.at("propagation", HOSTS, "restart_bytes")))


def host_cpu_us_per_s(slopes):
    """Microseconds per second."""
    changes = CHANGES_PER_DAY / DAY_S
    restarts = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S
    return total(
        slopes.at("propagation", HOSTS, "idle_cpu_us_per_s"),
        scale(changes, slopes.at("propagation", HOSTS, "change_cpu_us")),
        scale(restarts, slopes.at("propagation", HOSTS, "restart_cpu_us")),
        scale(member_changes_per_s(),
              slopes.get("capacity", "gate_change_cpu_us")),
        scale(member_changes_per_s(),
              slopes.get("capacity", "watchers_change_cpu_us")))


def host_memory_bytes(slopes):
    targets = GROUPS * TARGETS_PER_GROUP
    return total(
        slopes.at("propagation", HOSTS, "memory_bytes"),
        scale(GROUPS, slopes.get("capacity", "resource_memory_bytes")),
        scale(targets, slopes.get("capacity", "gate_memory_bytes")),
        scale(GROUPS, slopes.get("capacity", "watchers_memory_bytes")),
        scale(GROUPS, slopes.get("capacity", "group_spec_memory_bytes")))


def statement_cpu_us(slopes, field):
    """Microseconds per statement that takes two hops."""
    hops = slopes.data.get("hops")
    return total(
        scale(READ_SHARE, lookup(hops, ["read_two_hops", field])),
        scale(1 - READ_SHARE, lookup(hops, ["write_two_hops", field])))


def write_probes_cpu_us(slopes):
    """Microseconds of a gate for the probes of a write, at the lowest rate."""
    rows = slopes.get("probe_rate", "rows")
    probe = slopes.get("watched", "group_cpu_us_per_s")
    idle = slopes.get("watch", "idleProbesPerS")
    if not rows or probe is None or not idle:
        return None
    slowest = min((row for row in rows if row["writes_per_s"]),
                  key=lambda row: row["writes_per_s"])
    probes = slowest["probes_per_s"] * TARGETS_PER_GROUP
    return probes / slowest["writes_per_s"] * probe / idle


def gate_cpu_us_per_s(slopes):
    """Microseconds per second."""
    return scale(STATEMENTS_PER_S / HOSTS, total(
        statement_cpu_us(slopes, "gate_cpu_us"),
        scale(1 - READ_SHARE, write_probes_cpu_us(slopes))))


def watch_cpu_us_per_s(slopes):
    """Microseconds per second."""
    return scale(GROUPS * WATCHERS_PER_GROUP / HOSTS,
                 slopes.get("watched", "group_cpu_us_per_s"))


def watch_bytes_per_s(slopes):
    """Bytes per second, sent and received."""
    return scale(GROUPS * WATCHERS_PER_GROUP / HOSTS,
                 slopes.get("watched", "group_bytes_per_s"))


def watch_memory_bytes(slopes):
    return scale(GROUPS * WATCHERS_PER_GROUP / HOSTS,
                 slopes.get("watched", "group_memory_bytes"))


def open_files():
    callers = CONNECTIONS / HOSTS
    peers = 2 * (HOSTS - 1)
    per_host = GROUPS * TARGETS_PER_GROUP / HOSTS
    return callers + peers + per_host * (CONNECTIONS_PER_TARGET
                                         + WATCHERS_PER_GROUP)


def role_rows(slopes):
    per_centre = HOSTS / DATA_CENTRES
    targets = GROUPS * TARGETS_PER_GROUP / HOSTS
    watched = GROUPS * WATCHERS_PER_GROUP / HOSTS
    reports = per_centre * (1 / REPORT_PERIOD_S + CHANGES_PER_DAY / DAY_S)
    report = slopes.get("capacity", "report_bytes")
    status = total(slopes.get("capacity", "status_request_bytes"),
                   slopes.get("capacity", "status_answer_bytes"))
    processor = scale(1e-4, host_cpu_us_per_s(slopes))
    yield ("every host",
           f"{HOSTS:,} hosts, {GROUPS:,} groups, "
           f"{GROUPS * TARGETS_PER_GROUP:,} targets",
           show(host_bytes_per_s(slopes), "B/s sent"),
           show(processor, "% of a core", 3),
           show(scale(1e-6, host_memory_bytes(slopes)), "MB", 1))
    yield ("entry",
           f"{CONNECTIONS / HOSTS:,.0f} connections, "
           f"{STATEMENTS_PER_S / HOSTS:,.0f} statements a second",
           show(scale(STATEMENTS_PER_S / HOSTS,
                      slopes.get("entry", "statement_bytes")), "B/s"),
           show(scale(STATEMENTS_PER_S / HOSTS * 1e-4,
                      statement_cpu_us(slopes, "entry_cpu_us")),
                "% of a core", 1),
           show(scale(CONNECTIONS / HOSTS * 1e-6,
                      slopes.get("connections", "connection_memory_bytes")),
                "MB", 1))
    yield ("gate",
           f"{targets:.1f} targets, "
           f"{STATEMENTS_PER_S / HOSTS:,.0f} statements a second",
           show(scale(targets, slopes.get("gate", "target_bytes_per_s")),
                "B/s"),
           show(scale(1e-4, gate_cpu_us_per_s(slopes)), "% of a core", 1),
           show(scale(targets * 1e-6,
                      slopes.get("gate", "target_memory_bytes")), "MB", 1))
    yield ("relay",
           f"a watch, reports of {per_centre:.0f} hosts",
           show(scale(reports, report), "B/s received"),
           "within the first row",
           show(scale(HOSTS * 1e-3,
                      slopes.get("capacity", "report_memory_bytes")),
                "kB more"))
    yield ("promoter",
           f"{watched:.1f} groups, {watched * TARGETS_PER_GROUP:.1f} "
           f"targets probed; {PRIMARY_CHANGES_PER_DAY} changes of primary "
           "a day in the fleet",
           show(watch_bytes_per_s(slopes), "B/s"),
           show(scale(1e-4, watch_cpu_us_per_s(slopes)), "% of a core", 2),
           show(scale(1e-6, watch_memory_bytes(slopes)), "MB", 1))
    yield ("operator's API",
           f"status of {DATA_CENTRES} data centres while it is shown",
           show(scale(DATA_CENTRES, status), "B/s at most"),
           show(slopes.get("operators", "request_cpu_us"), "us a request"),
           show(scale(1e-3, slopes.get("capacity", "status_memory_bytes")),
                "kB while it is shown"))


def fleet_rows(slopes):
    for hosts in (9, 100, 1000, HOSTS):
        def at(*path, bench="propagation", size=hosts):
            return slopes.at(bench, size, *path)

        yield (f"{hosts:,}",
               show(scale(1e-3, at("in_force_ms", "median")), "s", 2),
               show(scale(1e-3, at("in_force_ms", "worst")), "s", 2),
               show(at("store_watches")),
               show(at("idle_bytes_per_s"), "B/s"),
               show(at("idle_region_bytes_per_s"), "B/s"),
               show(at("idle_cpu_us_per_s"), "us/s"),
               show(scale(1e-3, at("memory_bytes")), "kB"))


def event_rows(slopes):
    events = (("a host leaves", "host_leaving"),
              ("a host is lost", "host_lost"),
              ("a data centre is lost", "data_centre_lost"),
              ("a region is back after 60 s", "region_healed"))
    for title, name in events:
        cells = [title]
        for hosts in (9, 100, 1000, HOSTS):
            event = slopes.at("membership", hosts, name)
            if event and not event["seeds"]:
                event = None
            cells.append(show(lookup(event, ["worst_s"]), "s", 1))
        event = slopes.at("membership", HOSTS, name)
        busiest = lookup(event, ["most_bytes_per_s"])
        cells.append(show(busiest if event and event["seeds"] else None,
                          "B/s"))
        yield tuple(cells)


def limit_rows(slopes):
    transfer = scale(GROUPS, slopes.get("capacity",
                                        "resource_transfer_bytes"))
    yield ("bytes a second between hosts, sent and received",
           show(scale(2, host_bytes_per_s(slopes)), "B/s"),
           show(LIMIT_BYTES_PER_S, "B/s"))
    yield ("probes of the watched targets, sent and received",
           show(watch_bytes_per_s(slopes), "B/s"),
           show(LIMIT_BYTES_PER_S, "B/s"))
    yield ("the busiest host while hosts restart, sent",
           show(slopes.at("propagation", HOSTS, "restart_most_bytes_per_s"),
                "B/s"),
           show(LIMIT_BYTES_PER_S, "B/s"))
    yield ("processor for control",
           show(scale(1e-4, total(host_cpu_us_per_s(slopes),
                                  watch_cpu_us_per_s(slopes))), "%", 2),
           show(LIMIT_PROCESSOR_PERCENT, "%", 1))
    yield ("memory for control",
           show(scale(1e-6, total(host_memory_bytes(slopes),
                                  watch_memory_bytes(slopes))), "MB", 1),
           show(LIMIT_MEMORY_BYTES * 1e-6, "MB"))
    yield ("configuration taken at a start",
           show(scale(1e-6, transfer), "MB", 1),
           "none stated")
    yield ("the same at the limit of bytes a second",
           show(scale(1 / LIMIT_BYTES_PER_S, transfer), "s"),
           "none stated")
    yield ("the same spread over a day and all hosts",
           show(scale(RESTARTS_PER_DAY / HOSTS / DAY_S, transfer), "B/s"),
           show(LIMIT_BYTES_PER_S, "B/s"))
    yield ("processor for statements, entry and gate",
           show(scale(1e-4, total(
               scale(STATEMENTS_PER_S / HOSTS,
                     statement_cpu_us(slopes, "entry_cpu_us")),
               gate_cpu_us_per_s(slopes))), "%", 1),
           "none stated")
    yield ("open files of a host",
           show(open_files()),
           "1,024 is a usual default")


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def tables(slopes):
    return {
        "roles": table(("role", "state", "messages", "processor", "memory"),
                       role_rows(slopes)),
        "sizes": table(("hosts", "in force, median", "in force, worst",
                        "store watches", "idle, sent", "to other regions",
                        "processor", "memory"), fleet_rows(slopes)),
        "events": table(("event", "9 hosts", "100", "1,000", "3,600",
                         "busiest host at 3,600"), event_rows(slopes)),
        "limits": table(("measure", "worked out", "limit"),
                        limit_rows(slopes)),
    }


def render(page, slopes):
    for name, text in tables(slopes).items():
        begin, end = BEGIN.format(name), END.format(name)
        head, rest = page.split(begin, 1)
        tail = rest.split(end, 1)[1]
        page = f"{head}{begin}\n{text}\n{end}{tail}"
    return page


def import_line(data, line):
    row = json.loads(line)
    bench = row.pop("bench")
    if "hosts" not in row:
        data.setdefault(bench, {}).update(row)
        return
    rows = [old for old in data.get(bench, [])
            if old["hosts"] != row["hosts"]]
    data[bench] = sorted(rows + [row], key=lambda old: old["hosts"])


def import_files(data, paths):
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            if line.startswith("{"):
                import_line(data, line)
    SLOPES.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def main(arguments):
    data = json.loads(SLOPES.read_text()) if SLOPES.exists() else {}
    if arguments[:1] == ["--import"]:
        import_files(data, arguments[1:])
        return 0
    page = PAGE.read_text()
    expected = render(page, Slopes(data))
    if arguments == ["--write"]:
        PAGE.write_text(expected)
        return 0
    if arguments != ["--check"]:
        print(__doc__, file=sys.stderr)
        return 2
    if page != expected:
        print("docs/CAPACITY.md differs from bench/slopes.json; run "
              "bench/capacity.py --write", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
