"""What tests share: processes, callers and free ports."""
