"""The backend servers' side: attempts and orders leave here, and their outcomes come back."""
