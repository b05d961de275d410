why x none.log
