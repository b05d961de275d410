teaselnode -c no-key.json
