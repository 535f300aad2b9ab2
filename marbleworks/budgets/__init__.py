"""Fleet-wide budgets, divided among routers by demand."""
