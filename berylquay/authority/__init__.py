"""Authority over engines: the controller of a data centre and the process that sends its orders."""
