"""Spooled results: engines freed at once, clients that read at their own pace and come back."""
