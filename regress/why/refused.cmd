why d89b75ed6bde73f6 entry.log gate.log
