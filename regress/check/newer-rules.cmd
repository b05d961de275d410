check newer-rules.json
