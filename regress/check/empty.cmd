check empty.json
