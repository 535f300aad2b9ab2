"""The scheduling decisions: which engine runs a request, whether it is retried, what is shed."""
