"""marbleworks: a query gateway that decides which engine runs a query, when and with how much memory."""

VERSION = "0.1.0"
