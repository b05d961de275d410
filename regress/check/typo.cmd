chek x
