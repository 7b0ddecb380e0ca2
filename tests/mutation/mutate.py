#!/usr/bin/env python3
"""Mutation test: checks that unit tests fail if a rule is not implemented.

Usage: mutate.py [--only NAME] [--jobs N] DIRECTORY

Copies the sources to DIRECTORY and builds the unit tests there. For each row
of rules.tsv, replaces the text by the replacement in the row's file, builds
again and runs the row's tests. Prints the first test that fails, or "NOT
GUARDED". Exits with 1 if a rule is not guarded, and with 2 if the text of a
row is not in the file exactly once or the mutated sources do not build.
"""
import argparse
import pathlib
import shutil
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent


def rows():
    for line in (HERE / "rules.tsv").read_text().splitlines():
        if line and not line.startswith("#"):
            fields = line.split("\t")
            if len(fields) != 5:
                sys.exit("rules.tsv: a row needs five fields: " + line)
            yield fields


def copy_sources(copy):
    files = subprocess.run(["git", "ls-files"], cwd=ROOT, check=True,
                           capture_output=True, text=True).stdout
    for name in files.splitlines():
        if name.startswith("journal/") or not (ROOT / name).is_file():
            continue
        (copy / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(ROOT / name, copy / name)


def build(copy, jobs):
    run = subprocess.run(
        ["cmake", "--build", "build", "-j", str(jobs), "--target", "kb_tests"],
        cwd=copy, capture_output=True, text=True)
    return run.stdout + run.stderr if run.returncode else ""


def first_failure(copy, tests):
    run = subprocess.run(
        ["build/kb_tests", "--gtest_filter=" + tests, "--gtest_fail_fast",
         "--gtest_brief=1"],
        cwd=copy, capture_output=True, text=True)
    if not run.returncode:
        return None
    for line in run.stdout.splitlines():
        if line.startswith("[  FAILED  ] "):
            return line.split()[3]
    return "exit status %d" % run.returncode


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    copy = args.directory
    copy_sources(copy)
    subprocess.run(["cmake", "-S", ".", "-B", "build",
                    "-DCMAKE_BUILD_TYPE=RelWithDebInfo"],
                   cwd=copy, check=True, stdout=subprocess.DEVNULL)
    errors = build(copy, args.jobs)
    if errors:
        print(errors)
        return 2
    status = 0
    for name, path, text, replacement, tests in rows():
        if args.only not in name:
            continue
        source = (copy / path).read_text()
        # Rows have the escapes \n and \t for line breaks and tabs.
        text = text.encode().decode("unicode_escape")
        replacement = replacement.encode().decode("unicode_escape")
        if source.count(text) != 1:
            print("%s: %s has the text %d times" %
                  (name, path, source.count(text)))
            status = 2
            continue
        (copy / path).write_text(source.replace(text, replacement))
        errors = build(copy, args.jobs)
        if errors:
            found = "does not build: " + errors.strip().splitlines()[-1]
            status = 2
        else:
            found = first_failure(copy, tests)
            if not found:
                found = "NOT GUARDED"
                status = max(status, 1)
        print("%s: %s" % (name, found), flush=True)
        (copy / path).write_text(source)
    return status


if __name__ == "__main__":
    sys.exit(main())
