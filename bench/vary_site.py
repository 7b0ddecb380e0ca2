#!/usr/bin/env python3
"""Derives a variation of a site file, to simulate other deployments.

Usage: vary_site.py SITE.toml VARIATION OUTPUT.toml

The site names other files: write the output to their directory, or copy them
to the output's.
"""
import re
import sys


def scaled(factor):
    return lambda match: f"{match[1]}{float(match[2]) * factor:.1f}"


TRAFFIC = r"(\bper_s = )(\d+\.?\d*)"
# Replacements in the site's text: patterns and what they are replaced by.
VARIATIONS = {
    "one-slot": [(r"(\bslots = )\d+", r"\g<1>1"), (TRAFFIC, scaled(0.45))],
    "sync-one": [(r"(\bsync = )0", r"\g<1>1")],
    "far-regions": [(r"(cross_region_ms = )\d+\.?\d*", r"\g<1>30.0")],
    "slow-store": [(r"(writes_per_s = )(\d+\.?\d*)", scaled(0.1)),
                   (r"(reads_per_s = )(\d+\.?\d*)", scaled(0.1))],
    "scarce-connections": [(r"(conn_cap = )\d+", r"\g<1>5")],
    # Removes the target of the second of three data centres.
    "two-targets": [(r"(servers = \[\{[^}]*\}, )\{[^}]*\}, ", r"\g<1>"),
                    (TRAFFIC, scaled(0.7))],
    "one-group": [(r"(\bcopies = )\d+", r"\g<1>1"), (TRAFFIC, scaled(0.33))],
    "eight-groups": [(r"(\bcopies = )\d+", r"\g<1>8")],
}


def main():
    if len(sys.argv) != 4 or sys.argv[2] not in VARIATIONS:
        sys.exit("usage: vary_site.py SITE.toml VARIATION OUTPUT.toml\n"
                 "variations: " + ", ".join(VARIATIONS))
    with open(sys.argv[1], encoding="utf-8") as site:
        text = site.read()
    for pattern, replacement in VARIATIONS[sys.argv[2]]:
        text, count = re.subn(pattern, replacement, text)
        if not count:
            sys.exit(f"{sys.argv[1]}: no match for {pattern}")
    with open(sys.argv[3], "w", encoding="utf-8") as output:
        output.write(text)


if __name__ == "__main__":
    main()
