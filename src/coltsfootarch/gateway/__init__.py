"""HTTP front end and request pipelines."""
