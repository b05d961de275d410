check
