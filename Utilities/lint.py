#!/usr/bin/env python3
"""Runs clang-tidy over the sources in build/compile_commands.json."""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Set lower where other work shares the machine.
WORKERS = int(os.environ.get("LINT_JOBS", os.cpu_count()))
CACHE = pathlib.Path(
    os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"),
    "turmericpass-lint",
)


def preprocessed(entry):
    """Returns the text that the compiler sees, without line markers."""
    words = shlex.split(entry["command"])
    if words[0].endswith("ccache"):
        words = words[1:]
    output = words.index("-o")
    words = words[:output] + words[output + 2 :]
    words[words.index("-c")] = "-E"
    words.append("-P")
    done = subprocess.run(
        words, cwd=entry["directory"], capture_output=True, check=True
    )
    return done.stdout


def key_of(entry):
    digest = hashlib.sha256()
    digest.update(preprocessed(entry))
    digest.update(pathlib.Path(entry["file"]).read_bytes())
    digest.update((ROOT / ".clang-tidy").read_bytes())
    for header in sorted(ROOT.glob("Source/**/*.h")):
        if str(header.relative_to(ROOT / "Source")).encode() in (
            pathlib.Path(entry["file"]).read_bytes()
        ):
            digest.update(header.read_bytes())
    return digest.hexdigest()


def check(entry):
    """Returns the complaints about one file, empty if there are none."""
    mark = CACHE / key_of(entry)
    if mark.exists():
        return ""
    done = subprocess.run(
        ["clang-tidy", "-quiet", "-p", str(ROOT / "build"), entry["file"]],
        capture_output=True,
        text=True,
    )
    if done.returncode != 0:
        return done.stdout + done.stderr
    mark.touch()
    return ""


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    entries = json.loads((ROOT / "build/compile_commands.json").read_text())
    entries = [e for e in entries if pathlib.Path(e["file"]).exists()]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        complaints = [text for text in pool.map(check, entries) if text]
    for text in complaints:
        print(text)
    print(f"lint: {len(entries)} files, {len(complaints)} with complaints")
    return 1 if complaints else 0


if __name__ == "__main__":
    sys.exit(main())
