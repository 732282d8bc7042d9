"""The callers' side: HTTP requests come in here and answers leave."""
