"""Enforces the rate and burst of client accounts over all hosts together.

`limiter`, `ledger` and `ledger_book` use prepaid grants from one ledger per
account and availability zone; `shared_bucket` replicates one bucket to every
host with the reports of `fleet.reports`.
"""
