"""The platform's side: the log, the membership list and the weight store."""
