"""The policy as a program that the operators' simulator runs."""
