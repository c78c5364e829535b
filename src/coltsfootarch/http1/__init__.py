"""HTTP/1.1 messages and connections on httptools and gevent sockets."""
