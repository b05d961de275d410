out target stores-9 tema.json
