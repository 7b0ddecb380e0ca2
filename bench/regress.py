#!/usr/bin/env python3
"""Plays quick scores and short hunts of the users' sites and compares them.

Usage: regress.py KIT PROGRAM [--hunt DAYS] [--jobs N] [SITE...]

KIT is the folder with the folders of site files, PROGRAM the users' bench.
Without them nothing is done.
The scores are compared with the table "Quick scores" in bench/RESULTS.md; one
that is lower by more than NOISE, a failed gate or a broken rule is a failure.
"""
import argparse
import pathlib
import re
import subprocess
import sys

NOISE = 0.03
SITES = {
    "loftclock-na": "sites",
    "sda-bridge": "sites",
    "smrm-caxias": "further",
    "loftclock-na-grown": "grown",
    "sda-bridge-grown": "grown",
    "smrm-caxias-grown": "further-grown",
    "loftclock-na-now-grown": "shifted",
    "sqtj-tables-grown": "demands",
    "norrhaga-galleri-grown": "demands",
    "loftclock-na-large": "large",
}
RESULTS = pathlib.Path(__file__).parent / "RESULTS.md"
SCORE = re.compile(r"^quick estimate on .*: (\d\.\d+)", re.M)


def expected_scores(text):
    """Returns the scores of the table "Quick scores" by site."""
    section = text.partition("### Quick scores")[2].partition("\n#")[0]
    rows = re.findall(r"^\| ([a-z-]+) \|.*\| (\d\.\d+) \|$", section, re.M)
    return {site: float(score) for site, score in rows}


def faults(site, expected, score_output, hunt_output):
    """Returns what is worse than expected, as lines of text."""
    found = SCORE.search(score_output)
    lines = []
    if not found:
        return [f"{site}: no score"]
    score = float(found.group(1))
    if "GATE passed" not in score_output:
        lines.append(f"{site}: the gate failed")
    if site not in expected:
        lines.append(f"{site}: {score}, not in the table")
    elif score < expected[site] - NOISE:
        lines.append(f"{site}: {score}, {expected[site]} expected")
    if hunt_output and not re.search(r", 0 with a rule broken", hunt_output):
        lines.append(f"{site}: a hunt broke a rule or did not end")
    return lines


def play(bench, *arguments):
    print(*arguments, flush=True)
    return subprocess.run([str(bench), *arguments], text=True, check=False,
                          stdout=subprocess.PIPE).stdout


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("kit", type=pathlib.Path)
    parser.add_argument("program", type=pathlib.Path)
    parser.add_argument("sites", nargs="*", metavar="SITE")
    parser.add_argument("--hunt", type=int, default=8, metavar="DAYS")
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    unknown = set(options.sites) - set(SITES)
    if unknown:
        parser.error(f"unknown site {sorted(unknown)[0]}; known: "
                     + ", ".join(SITES))
    if not options.kit.is_dir() or not options.program.is_file():
        print(f"no kit in {options.kit} or no {options.program}: "
              "nothing to do")
        return
    expected = expected_scores(RESULTS.read_text(encoding="utf-8"))
    worse = []
    for site in options.sites or SITES:
        path = str(options.kit / SITES[site] / f"{site}.toml")
        jobs = ("--jobs", str(options.jobs))
        score = play(options.program, "score", path, "--quick", *jobs, "--why",
                     "Regression run")
        hunt = play(options.program, "hunt", path, "--days", str(options.hunt),
                    *jobs) if options.hunt else ""
        print(score + hunt, flush=True)
        worse += faults(site, expected, score, hunt)
    print("\n".join(worse) or "no site is worse than expected")
    sys.exit(1 if worse else 0)


if __name__ == "__main__":
    main()
