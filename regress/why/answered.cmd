why 6b64bf133ba4a2bf gate.log entry.log
