"""The program that serves callers."""
