"""Test harness: processes of the program, fronts in the test process, and stand-ins for their peers."""
