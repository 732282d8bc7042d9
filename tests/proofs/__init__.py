"""Long seeded runs on real processes, outside CI; docs/proofs lists their commands."""
