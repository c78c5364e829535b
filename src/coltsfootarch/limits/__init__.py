"""Enforces the rate and burst of client accounts over all hosts together.

For `gateway`, `limiter` spends prepaid grants from one ledger per account and
availability zone. For `forwarding`, `shared_bucket` replicates one bucket per
account to all hosts, using `fleet.reports`.
"""
