diff old.json new.json
