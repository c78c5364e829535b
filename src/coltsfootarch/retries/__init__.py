"""Retry budgets, of one host or shared by all, and backoff between retries."""
