"""Measurements that can be run again."""
