teaselnode -c wrong.json
