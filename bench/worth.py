#!/usr/bin/env python3
"""Prints what reduced the worth of simulated days, from the bench's reports.

Usage: worth.py NAME=REPORT.json [NAME=REPORT.json ...]
"""
import json
import sys


def format_row(name, report):
    """Formats the report of one day as a row of the table."""
    total = report["all"]
    requests = total["n"] or 1
    windows = sorted(report["windows"], key=lambda w: w["worth"])[:2]
    prices = sorted(report["prices"], key=lambda p: -float(p[-1]))[:2]
    unserved = sorted(report["unserved_by"], key=lambda u: -u[1])[:2]
    return "| {} | {:.3f} | {:.3f} | {:.1%} | {:.1%} | {:.1%} | {} | {} | {} |" \
        .format(name, report["G"], total["worth"], total["late"] / requests,
                total["refused"] / requests, total["failed"] / requests,
                ", ".join(f"{w['name']} s: {w['worth']:.2f}" for w in windows),
                ", ".join(f"{u[0]}: {u[1]}" for u in unserved),
                ", ".join(f"{p[0]} {float(p[-1]):.3f}" for p in prices))


def main():
    if len(sys.argv) < 2 or any("=" not in a for a in sys.argv[1:]):
        sys.exit(__doc__.strip().splitlines()[-1])
    print("| day | worth | of credit owed | late | refused | failed "
          "| worst windows | last answers of what was not served "
          "| dearest prices |")
    print("|---|---|---|---|---|---|---|---|---|")
    for argument in sys.argv[1:]:
        name, path = argument.split("=", 1)
        try:
            with open(path, encoding="utf-8") as report:
                print(format_row(name, json.load(report)))
        except (OSError, ValueError, KeyError) as error:
            sys.exit(f"{path}: {error}")


if __name__ == "__main__":
    main()
