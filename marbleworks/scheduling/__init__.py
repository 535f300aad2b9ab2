"""Scheduling decisions: which engine runs a request, whether it is retried and what is shed."""
