"""The eviction policy, its frequency sketch and entry table, the write budget, and the choice of segments."""

from marbleglade.disk.compaction import choose_segment
from marbleglade.disk.entry_table import EntryTable, part_key
from marbleglade.disk.eviction import EvictionPolicy, RecordLocation
from marbleglade.disk.frequency_sketch import FrequencySketch
from marbleglade.disk.write_budget import WriteBudget
from marbleglade.testing.object_store import hashed_fraction
from tests.harness.units import SECOND_NS


def test_the_frequency_sketch_counts_uses_and_halves_its_counters():
    sketch = FrequencySketch(1024)
    assert [sketch.record_use(7) for _ in range(3)] == [1, 2, 3] and sketch.estimate(8) == 0
    for n in range(2000):
        sketch.record_use(1000 + n)
    overestimated = sum(sketch.estimate(1000 + n) > 2 for n in range(2000))
    assert overestimated < 200 and sketch.estimate(7) >= 3
    for _ in range(sketch.ageing_period):
        sketch.record_use(5)
    assert sketch.estimate(7) <= 2 and sketch.estimate(5) >= 7


def test_the_entry_table_behaves_like_a_dict_and_takes_at_most_64_bytes_per_entry():
    table, model = EntryTable(), {}
    for step in range(30_000):
        key = part_key(int(hashed_fraction(1, "thing", step) * 4000), step % 3)
        if hashed_fraction(2, step) < 0.6:
            table.put(key, step, step % 999, step)
            model[key] = step, step % 999, step
        else:
            assert table.remove(key) == (model.pop(key, None) is not None)
    assert {key: table.get(key) for key in model} == model and len(table) == len(model)
    assert dict(table) == model
    assert table.get(12345) is None
    for n in range(100_000):
        table.put(part_key(n, 99), n, 1, n)
    assert table.memory_bytes / len(table) <= 64


def test_a_part_used_once_and_a_very_large_part_are_not_admitted():
    eviction = EvictionPolicy(100_000, 1, 1024)
    for n in range(50):
        for _ in range(4):
            eviction.record_use(part_key(n, 0))
        assert eviction.choose_victims(part_key(n, 0), 2000, 0) == []
        eviction.add(part_key(n, 0), RecordLocation(1, n * 2000, 2000), 0)
    new_part = part_key(999, 0)
    eviction.record_use(new_part)
    assert eviction.choose_victims(new_part, 2000, 0) is None  # used once
    large_part = part_key(1000, 0)
    for _ in range(3):
        eviction.record_use(large_part)
    # This is 29 times the usual size, so the part has a lower value per byte.
    assert eviction.choose_victims(large_part, 58_000, 0) is None
    assert eviction.choose_victims(large_part, 200_000, 0) is None
    for _ in range(12):
        eviction.record_use(new_part)
    assert len(eviction.choose_victims(new_part, 2000, 0)) == 1
    assert eviction.live_bytes == 100_000 and eviction.segment_live_bytes == {1: 100_000}


def test_early_parts_of_an_object_have_a_higher_value():
    eviction = EvictionPolicy(1000, 1)
    eviction.record_use(5)
    values = [eviction.value(5, 100, eviction.uses, part) for part in range(20)]
    assert values == sorted(values, reverse=True) and values[0] > 1.4 * values[19]


def test_the_write_budget_limits_the_write_rate_and_the_write_amplification():
    budget = WriteBudget(1000, 2, 1.5)
    assert budget.try_write(1500, 0) and not budget.try_write(1500, 0)
    assert budget.try_write(1400, SECOND_NS) and not budget.try_write(1400, SECOND_NS)
    assert budget.try_rewrite(1450) and not budget.try_rewrite(100) and budget.amplification <= 1.5
    assert choose_segment({1: 50, 2: 10, 3: 0}, {1: 100, 2: 100, 3: 100}, 3) == 2
    assert choose_segment({}, {3: 100}, 3) is None
