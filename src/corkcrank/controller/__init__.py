"""The program that looks after zones and services."""
