"""HTTP/1.1 parsing, client connections and connection pool for gevent."""
