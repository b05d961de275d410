check unknown-names.json
