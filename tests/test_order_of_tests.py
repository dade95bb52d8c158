"""The lists that define the order of the test suite contain only existing modules."""

from tests.conftest import GROUPS, INDEPENDENT_GROUP, LONGEST_INDEPENDENT, TESTS


def test_each_listed_module_exists_and_is_in_one_list():
    listed = [module for modules in GROUPS.values() for module in modules]
    assert len(set(listed)) == len(listed)
    assert LONGEST_INDEPENDENT in GROUPS[INDEPENDENT_GROUP]
    assert [module for module in listed if not (TESTS / f"{module}.py").exists()] == []
