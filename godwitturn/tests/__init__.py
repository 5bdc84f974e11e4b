"""Tests of godwitturn; test_<module>.py contains the tests of a module."""
