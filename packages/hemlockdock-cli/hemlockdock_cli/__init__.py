"""Drive hemlockdock as an operator."""
