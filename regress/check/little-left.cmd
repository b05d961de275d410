check little-left.json
