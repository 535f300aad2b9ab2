"""Admission control: fair queues between the client listeners and the dispatcher, and retry promises."""
