"""At-most-once execution: grants dispatch the right to run calls that may not be repeated."""
