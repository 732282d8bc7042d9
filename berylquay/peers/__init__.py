"""Links to the other entry hosts: WebSocket connections that carry CBOR messages."""
