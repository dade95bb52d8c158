"""The quorum keeps its guarantees under random faults, and the checks detect injected faults of the code."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.control.quorum.cluster import ViolationError
from tests.control.quorum.faulty_clusters import (
    AcknowledgedBeforeDurable,
    BaseVersionIgnored,
    MajorityOffByOne,
    PromiseNotDurable,
    VoteNotDurable,
)
from tests.control.quorum.quorum_machine import SETTINGS, QuorumMachine, SafetyMachine

QuorumMachine.TestCase.settings = SETTINGS
TestQuorum = QuorumMachine.TestCase


@pytest.mark.parametrize(
    "faulty",
    [
        VoteNotDurable,
        AcknowledgedBeforeDurable,
        MajorityOffByOne,
        PromiseNotDurable,
        BaseVersionIgnored,
    ],
)
def test_the_checks_detect_an_injected_fault(faulty):
    class Machine(SafetyMachine):
        cluster_class = faulty

    with pytest.raises(ViolationError):
        run_state_machine_as_test(
            Machine, settings=settings(SETTINGS, max_examples=400, phases=[Phase.generate])
        )
