#!/usr/bin/env python3
"""Takes out the line that carries each rule and looks which tests turn red.

Usage: mutate.py [--only NAME] [--jobs N] DIRECTORY

Copies the sources to DIRECTORY, builds the unit tests there, and for each row
of rules.tsv replaces the text of its second column by that of its third in
the file of its first, builds again and runs the tests of its fourth. Prints
the first test that fails, or "NOT GUARDED", and exits with 1 if a rule is not
guarded, with 2 if a row does not fit the sources any more.
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
    fault = build(copy, args.jobs)
    if fault:
        print(fault)
        return 2
    status = 0
    for name, path, text, replacement, tests in rows():
        if args.only not in name:
            continue
        source = (copy / path).read_text()
        # A row says \n and \t where the source breaks a line.
        text = text.encode().decode("unicode_escape")
        replacement = replacement.encode().decode("unicode_escape")
        if source.count(text) != 1:
            print("%s: %s has the text %d times" %
                  (name, path, source.count(text)))
            status = 2
            continue
        (copy / path).write_text(source.replace(text, replacement))
        fault = build(copy, args.jobs)
        if fault:
            found = "does not build: " + fault.strip().splitlines()[-1]
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
