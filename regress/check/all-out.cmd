check all-out.json
