"""Searches through the fault schedules of small simulated worlds with real cores."""
