check bad-names.json
