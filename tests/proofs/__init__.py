"""Longer seeded runs on processes, outside CI; docs/proofs names their commands."""
