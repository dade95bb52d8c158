"""The types shared by a policy and the front that hosts it.

Times are integers in nanoseconds of one monotonic clock. A time or number that is not known or not set is 0.
"""
