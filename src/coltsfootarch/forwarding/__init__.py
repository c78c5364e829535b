"""Path of a request from its caller to an upstream and back."""
