#!/usr/bin/env python3
"""Shows that the soak finds faults: takes one rule out of the product at a
time, in a copy of the sources, and names the seeds that catch it.

"""
import argparse
import os
import signal
import subprocess
import sys

# Name, file, text that carries the rule, text without it.
MUTANTS = [
    ("echo of the attempt is not checked", "src/net/upstream_connection.cpp",
     "  return Echo != Received.get().end() &&\n",
     "  return false && Echo != Received.get().end() &&\n"),
    ("non-idempotent requests are repeated", "src/forward/engine_attempts.cpp",
     "CurrentCall.MatchedRoute->Idempotent || CurrentPart.PossiblyRun == 0;",
     "true || CurrentCall.MatchedRoute->Idempotent;"),
    ("leaving servers get work", "src/forward/placement.cpp",
     "return !Backend.Entry.Leaving && !Backend.Misdirected;",
     "return !Backend.Misdirected;"),
    ("evacuated domains get work", "src/forward/placement.cpp",
     "return acceptsWork(Backend) && !Backend.Evacuated &&",
     "return acceptsWork(Backend) &&"),
    ("limits of cold servers are ignored", "src/forward/cold_state_func.cpp",
     "return Backend.ColdShare && isCold(Now, Backend);", "return false;"),
    ("rate limits of servers are ignored", "src/forward/replica.cpp",
     "return acceptsAt(Criteria.Now, Backend, Criteria.Instances) <= "
     "Criteria.Now;", "return true;"),
    ("each instance takes a whole rate limit", "src/limits/rate_share_func.cpp",
     "static_cast<double>(std::max<size_t>(1, Instances))", "1"),
    ("revisions order changes over restores",
     "src/daemon/gateway_view.cpp",
     "    if (Entry.Position <= this->ConfigurationPosition) {",
     "    if (Entry.Position.Revision <= "
     "this->ConfigurationPosition.Revision) {"),
    ("a restored store is watched on", "src/discovery/read_cursor.cpp",
     "  if (Epoch == this->Position.Epoch) {", "  if (true) {"),
    ("calls are not relayed", "src/forward/engine_relay.cpp",
     "  if (CurrentCall.Relayed || !MayRepeat ||",
     "  if (true || CurrentCall.Relayed || !MayRepeat ||"),
    ("relayed calls that may have run are relayed again",
     "src/forward/engine_relay.cpp",
     "CurrentCall.MatchedRoute->Idempotent || !mayHaveRun(CurrentCall);",
     "true || !mayHaveRun(CurrentCall);"),
    ("a server's status states not run", "src/forward/not_run.cpp",
     "  if (Received == nullptr || !statesNotRun(Received->Status)) {",
     "  if (true || Received == nullptr) {"),
    ("any status is a reply", "src/net/reply_check_func.cpp",
     "  if (Status < MinStatus || Status > MaxStatus) {",
     "  if (Status < MinStatus && Status > MaxStatus) {"),
    ("refusals say not run", "src/forward/not_run.cpp",
     "[](const Part &Entry) { return Entry.PossiblyRun > 0; }",
     "[](const Part &) { return false; }"),
    ("merged records are not ordered", "src/forward/merge.cpp",
     "std::greater<>()", "std::less<>()"),
    ("a stop refuses connections at once", "src/daemon/gateway_stop.cpp",
     "  if (Now < this->CloseAt) {\n    return;\n  }\n", ""),
    ("a stop does not wait for requests", "src/daemon/gateway_stop.cpp",
     "bool Idle = this->CallerServer.requestsInProgress() == 0 &&",
     "bool Idle = true ||"),
    ("log lines wait for their reader", "src/daemon/log_func.cpp",
     "Flags | O_NONBLOCK", "Flags & ~O_NONBLOCK"),
    ("a failed store is not read again", "src/daemon/store_reader.cpp",
     "  this->Cursor.abortListing();\n  this->retryLater();\n",
     "  this->Cursor.abortListing();\n"),
]
SECONDS = "10"
MAX_SECONDS = 90  # A run without faults ends within half of it.
JOBS = 3


def build(folder):
    """Builds the program of the copy."""
    subprocess.run(["ninja", "-C", os.path.join(folder, "build"),
                    "src/hickorycrank"], check=True, stdout=subprocess.DEVNULL)


def catchers(folder, seeds):
    """Returns {seed: first violation} of the copy's program."""
    program = os.path.join(folder, "build", "src", "hickorycrank")
    caught = {}
    while seeds:
        group, seeds = seeds[:JOBS], seeds[JOBS:]
        runs = [(seed, subprocess.Popen(
            [sys.executable, "soak/soak.py", "--program", program, "--seed",
             seed, "--seconds", SECONDS], text=True, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL)) for seed in group]
        for seed, run in runs:
            try:
                output = run.communicate(timeout=MAX_SECONDS)[0]
            except subprocess.TimeoutExpired:
                run.send_signal(signal.SIGINT)  # Ends its processes.
                output = "VIOLATION no end in time\n" + run.communicate()[0]
            if run.returncode != 0:
                found = [line for line in output.splitlines()
                         if line.startswith("VIOLATION")]
                caught[seed] = (found or ["ended with an error"])[0]
    return caught


def main():
    """Prints one line for each mutant; exit code 1: one was not caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", help="receives the copy and its build")
    parser.add_argument("seeds", nargs="+")
    parser.add_argument("--only", default="", help="part of a mutant's name")
    options = parser.parse_args()
    folder, seeds = options.folder, options.seeds
    if not os.path.exists(folder):
        subprocess.run(["git", "clone", "-q", ".", folder], check=True)
    subprocess.run(["cmake", "-S", folder, "-B", os.path.join(folder, "build"),
                    "-G", "Ninja", "-DHICKORYCRANK_TESTS=OFF",
                    "-DHICKORYCRANK_WERROR=OFF"],
                   check=True, stdout=subprocess.DEVNULL)
    missed = 0
    for name, path, text, without in MUTANTS:
        if options.only not in name:
            continue
        path = os.path.join(folder, path)
        with open(path, encoding="utf-8") as source:
            original = source.read()
        if original.count(text) != 1:
            sys.exit(f"{path}: the text of '{name}' is not there once")
        try:
            with open(path, "w", encoding="utf-8") as target:
                target.write(original.replace(text, without))
            build(folder)
            caught = catchers(folder, seeds)
        finally:
            with open(path, "w", encoding="utf-8") as target:
                target.write(original)
        missed += not caught
        print(f"{name}: {caught or 'NOT CAUGHT'}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
