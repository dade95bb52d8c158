"""The configuration version in force at a front, and the front's replies to the control nodes."""

from marbleglade.control.configuration.document import ConfigurationRejectedError
from marbleglade.control.configuration.versions import ConfigurationVersions
from marbleglade.control.messages import ConfigurationApplied, ConfigurationEvent, ConfigurationRejected


class FakeFront:
    def __init__(self, rejected=()):
        self.applied, self.rejected = [], rejected

    def configure(self, version, text):
        if version in self.rejected:
            raise ConfigurationRejectedError(f"no {version}")
        self.applied.append(version)


def test_versions_never_decrease_and_the_reply_to_each_node_is_the_version_in_force():
    front = FakeFront()
    versions = ConfigurationVersions(front.configure)
    answers = [versions.handle_event(ConfigurationEvent(1, version, "t")) for version in (3, 3, 2, 5)]
    assert answers == [ConfigurationApplied(3), ConfigurationApplied(3), None, ConfigurationApplied(5)]
    assert front.applied == [3, 5]


def test_the_reply_to_each_node_is_the_rejection_and_the_last_applied_version_stays():
    front = FakeFront(rejected=(4,))
    versions = ConfigurationVersions(front.configure)
    answers = [versions.handle_event(ConfigurationEvent(1, version, "t")) for version in (3, 4, 4, 3, 5)]
    rejected = ConfigurationRejected(4, "no 4")
    assert answers == [
        ConfigurationApplied(3),
        rejected,
        rejected,
        ConfigurationApplied(3),
        ConfigurationApplied(5),
    ]
    assert front.applied == [3, 5] and versions.in_force == 5


def test_a_document_for_which_the_front_raises_an_exception_is_rejected():
    def configure(_version, _text):
        raise RuntimeError("broken")

    answer = ConfigurationVersions(configure).handle_event(ConfigurationEvent(1, 3, "t"))
    assert isinstance(answer, ConfigurationRejected) and "broken" in answer.reason
