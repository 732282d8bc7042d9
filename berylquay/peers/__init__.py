"""The other entry hosts: websocket links that carry CBOR messages."""
