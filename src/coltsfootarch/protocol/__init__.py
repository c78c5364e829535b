"""Messages between gateway hosts, their encoding and their transport."""
