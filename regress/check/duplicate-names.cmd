check duplicate-names.json
