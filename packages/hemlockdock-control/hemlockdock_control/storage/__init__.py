"""Keep a member's promises on its disk."""
