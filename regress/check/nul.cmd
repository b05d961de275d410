check nul.json
