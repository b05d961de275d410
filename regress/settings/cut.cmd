teaselnode -c cut.json
