"""Router for prefill and decode pools and the plain services beside them."""
