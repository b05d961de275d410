out target stores-3 tema.json
