"""Short runs of the control node benchmark: their figures, and their effect on later child processes."""

import subprocess
import sys

import gevent
import pytest

from benchmarks.control_node import measure

COMMON_KEYS = {
    "watchers",
    "plain",
    "seconds",
    "purges",
    "core_share",
    "stand_in_core_share",
    "memory_mb",
    "bytes_per_s_in_mean",
    "bytes_per_s_in_worst",
    "bytes_per_s_out_mean",
    "to_last_watcher_ms_p99",
    "to_last_watcher_ms_worst",
}
CONFIRMATION_KEYS = {"confirmed", "last_word_ms_p99", "last_word_ms_worst"}
EXIT_CODE = 3


@pytest.mark.parametrize("plain, keys", [(True, COMMON_KEYS), (False, COMMON_KEYS | CONFIRMATION_KEYS)])
def test_short_run_returns_all_figures(plain, keys):
    figures = measure(watchers=3, seconds=1.0, plain=plain)
    assert set(figures) == keys
    assert figures["purges"] > 0
    # The run ends 1 s after the last purge, so a machine that stalls for longer confirms fewer purges.
    assert plain or 0 < figures["confirmed"] <= figures["purges"]


def test_exit_code_of_a_later_child_process_is_available():
    """`wait` finds no exit code if the event loop reaps a child that ends while the loop runs."""
    measure(watchers=1, seconds=0.2, plain=True)
    process = subprocess.Popen([sys.executable, "-c", f"raise SystemExit({EXIT_CODE})"])
    gevent.sleep(1.0)
    assert process.wait() == EXIT_CODE
