check does-not-exist.json
