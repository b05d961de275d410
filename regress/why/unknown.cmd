why nobody entry.log gate.log
