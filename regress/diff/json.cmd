diff --json new.json old.json
