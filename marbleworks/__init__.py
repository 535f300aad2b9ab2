"""marbleworks: a query gateway that decides what runs, where and with how much memory."""
