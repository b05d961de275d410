check truncated.json
