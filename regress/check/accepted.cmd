check accepted.json
