"""The operators' configuration: documents, committed versions and settings.

Parses and checks the register and the settings of processes, commits versions
of the register to the table service and keeps each host on the newest one.
"""
