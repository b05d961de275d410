check no-targets.json
