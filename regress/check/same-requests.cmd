check same-requests.json
