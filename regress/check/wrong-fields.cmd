check wrong-fields.json
