check nesting.json
