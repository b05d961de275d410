out data-centre slip-south tema.json
