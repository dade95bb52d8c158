"""Short runs of the fault benchmark, and the faults that its checker finds in records that break a rule."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time

import pytest

from benchmarks.faults.records import (
    NON_IDEMPOTENT_CLASS,
    Arrival,
    PublishedEvent,
    Records,
    Request,
    broken_rules,
)

# Without "stops": a front stopped between reading the clock and writing a deadline breaks a rule inevitably,
# and such stops do occur.
FAULT_COMBINATIONS = ["clock+calls", "clients+signals", "caches+end"]
FAULTS_BY_SOAK_SEED = {1: "signals+calls", 2: "signals+end", 3: "signals+crowd"}  # seeds draw group sizes
MAX_RUN_SECONDS = 60.0  # for one run with a few fronts


@pytest.mark.parametrize("faults", FAULT_COMBINATIONS)
def test_real_fronts_break_no_rule_under_faults(faults):
    """Runs six fronts on two cores."""
    cores = ",".join(map(str, sorted(os.sched_getaffinity(0))[:2]))
    options = ["--seed", "7", "--fronts", "6", "--cores", cores, "--seconds", "4", "--faults", faults]
    process = subprocess.run(
        [sys.executable, "-O", "-m", "benchmarks.faults", *options],
        capture_output=True,
        text=True,
        timeout=MAX_RUN_SECONDS,
    )
    assert process.returncode == 0, process.stdout
    entry = json.loads(process.stdout.splitlines()[-1])["plays"][faults]
    assert entry["broken"] == {} and entry["requests"]["ok"] > 20


def test_a_soak_until_the_fronts_are_killed_breaks_no_rule():
    """Clients stay active until the kill, signals arrive from start to exit, and one run has a crowd."""
    cores = ",".join(map(str, sorted(os.sched_getaffinity(0))[:2]))
    command = [sys.executable, "-O", "-m", "benchmarks.faults", "--soak"]
    command += ["--fronts", "6", "--cores", cores, "--seconds", "2"]
    for seed, faults in FAULTS_BY_SOAK_SEED.items():
        process = subprocess.run(
            [*command, "--seed", str(seed), "--faults", faults],
            capture_output=True,
            text=True,
            timeout=MAX_RUN_SECONDS,
        )
        assert process.returncode == 0, process.stdout
        assert json.loads(process.stdout.splitlines()[-1]) == {"runs": 1, "failed": []}


@pytest.mark.parametrize("harness_delay", [0.0, 0.02, 0.04])
def test_a_request_closed_without_a_response_is_lost_whatever_the_delay_of_the_benchmark(harness_delay):
    closed = request(answered_at=0.0, answers=0)
    closed.closed_at = closed.sent_at + 0.08
    found = records(closed, harness_stalls=[(closed.closed_at, harness_delay)])
    assert [one for one, _ in broken_rules(found)] == ["lost"]


def test_with_a_crowd_only_the_first_request_of_a_closed_connection_is_not_lost():
    closed = request(answered_at=0.0, answers=0, opens_connection=True)
    closed.closed_at = closed.sent_at + 0.2
    assert broken_rules(records(closed, is_crowded=True)) == []
    assert [one for one, _ in broken_rules(records(closed))] == ["lost"]
    closed.opens_connection = False
    assert [one for one, _ in broken_rules(records(closed, is_crowded=True))] == ["lost"]


def request(**changes) -> Request:
    """Build a request that got a response in time, 10 s ago, with these changes of attributes."""
    now = time.monotonic() - 10
    one = Request("t1", 0, "dish-media", 5, 1.0, sent_at=now, answered_at=now + 0.1, status="ok", answers=1)
    for name, value in changes.items():
        setattr(one, name, value)
    return one


def records(one: Request, **changes) -> Records:
    return Records(requests={one.trace: one}, **changes)


def arrival(one: Request, after: float, stated_wait_s: float = 0.5, cache: str = "box0") -> Arrival:
    return Arrival(one.trace, cache, one.sent_at + after, stated_wait_s)


def records_with_one_fault() -> dict[str, tuple[str, Records]]:
    """Return the rule that is broken and records that break it, by the name of the fault."""
    good, left, silent = request(), request(), request(answered_at=0.0, answers=0, status="")
    left.client_left_at = left.sent_at + 0.1
    purged = PublishedEvent(good.sent_at - 5, 1000, object_id=5)
    drained = PublishedEvent(good.sent_at - 5, 1000, cache="box0")
    closed = request(answered_at=0.0, answers=0)
    closed.closed_at = closed.sent_at + 0.2
    late = request()
    late.answered_at = late.sent_at + late.timeout_s + 0.6
    return {
        "no answer": ("lost", records(silent)),
        "closed without an answer": ("lost", records(closed)),
        "too late": ("lost", records(late)),
        "two answers": ("lost", records(request(answers=2))),
        "malformed": ("lost", records(request(malformed=True))),
        "after the kill": ("lost", records(good, kill_due_at={0: good.answered_at - 0.01})),
        "unknown attempt": ("lost", records(good, arrivals=[Arrival("t2", "box0", good.sent_at, 0.5)])),
        "begun late": ("begun_late", records(left, arrivals=[arrival(left, 0.25)])),
        "deadline": ("deadline", records(good, arrivals=[arrival(good, 0.0, stated_wait_s=1.2)])),
        "drain": ("drain", records(good, arrivals=[arrival(good, 0.0)], published=[drained])),
        "old copy": ("purge", records(good, published=[purged])),
        "twice": ("duplicate", Records(effects={"t1": 2})),
    }


@pytest.mark.parametrize("fault", records_with_one_fault())
def test_the_checker_finds_the_fault(fault):
    rule, found = records_with_one_fault()[fault]
    assert [one for one, _ in broken_rules(found)] == [rule]


def test_the_checker_finds_no_fault_in_correct_records():
    good = request(class_name=NON_IDEMPOTENT_CLASS)
    found = records(good, arrivals=[arrival(good, 0.05)], effects={"t1": 1})
    assert broken_rules(found) == []
