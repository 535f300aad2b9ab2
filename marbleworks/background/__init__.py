"""Work that nobody waits for, done beside the commands without delaying them."""
