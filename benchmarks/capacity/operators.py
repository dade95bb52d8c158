"""The deployment that operators expect within two years, their budgets, and the state of a busy front."""

FRONTS = 730
DOUBLED_FRONTS = 2 * FRONTS
CACHES = 78
ZONES = 11
PEAK_REQUESTS_PER_S = 470_000
PEAK_BITS_PER_S = 4.8e12
EXPECTED_PURGES_PER_S = 12
CHANGES_PER_DAY = 1300
CONTROL_MACHINES = 8

# Budgets: the most that control may cost a front, and the time in which it must take effect.
MAX_CORE_SHARE = 0.016
MAX_MEMORY_BYTES = 128_000_000
MAX_BYTES_PER_S = 6_000
MAX_PURGE_SECONDS = 2.6
MAX_CONFIGURATION_SECONDS = 5.0

LARGEST_PART_BYTES = 240_000  # limit of a body in the clients' protocol

# State of one busy front: a full directory, its own copies and its open requests.
DIRECTORY_ENTRIES = 8192
COPIES = 8192
OPEN_REQUESTS = 1000

_FIXED_VARIABLES: dict[str, float] = {
    "cache": CACHES,
    "zone": ZONES,
    "purge_per_s": EXPECTED_PURGES_PER_S,
    "directory_entry": DIRECTORY_ENTRIES,
    "copy": COPIES,
    "open_request": OPEN_REQUESTS,
    "retained_purge": 65_536,
    "recent_purge": EXPECTED_PURGES_PER_S * 12,
    "object_byte": LARGEST_PART_BYTES,
    "copy_byte": 170_000_000,
    "client": 128,
}


def slope_variables(fronts: int) -> dict[str, float]:
    """Return the value of each variable of slopes with this many fronts; purges of the last 12 s are recent.

    A variable such as "front_purge_per_s" is the product of its factors.
    """
    return _FIXED_VARIABLES | {
        "front": fronts,
        "front_purge_per_s": fronts * EXPECTED_PURGES_PER_S,
        "purge_per_s_directory_entry": EXPECTED_PURGES_PER_S * DIRECTORY_ENTRIES,
    }
