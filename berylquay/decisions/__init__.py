"""The decision core: pure functions and state machines without sockets, clocks or threads."""
