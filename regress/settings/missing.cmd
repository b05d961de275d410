teaselnode -c does-not-exist.json
