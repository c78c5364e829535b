"""Tests the exchange of reports over real sockets."""

from __future__ import annotations

import socket

import gevent

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import report_exchange
from coltsfootarch.scheduling import load_view
from tests.forwarding import edge_host


def test_hosts_receive_each_other_s_load():
    clock = clocks.SystemClock()
    addresses = edge_host.free_addresses(2, socket.SOCK_DGRAM)
    records = [
        hosts.HostRecord(f"h{number}", address, "z", number, 0)
        for number, address in enumerate(addresses)
    ]
    views, exchanges = [], []
    for record in records:
        directory = hosts.HostDirectory(record, clock)
        directory.apply(records)
        views.append(load_view.LoadView(clock))
        exchanges.append(
            report_exchange.ReportExchange(directory, [views[-1]], clock)
        )
        exchanges[-1].start()
    views[0].add("i-1", 70)

    with gevent.Timeout(5):
        while views[1].load("i-1").tokens != 70:
            gevent.sleep(0.01)
        while exchanges[0].directory.share() < 1.0:
            gevent.sleep(0.01)

    for exchange in exchanges:
        exchange.close()


def test_important_changes_are_reported_early_in_one_report(monkeypatch):
    clock = clocks.SystemClock()
    (address,) = edge_host.free_addresses(1, socket.SOCK_DGRAM)
    record = hosts.HostRecord("h1", address, "z", 1, 0)
    exchange = report_exchange.ReportExchange(
        hosts.HostDirectory(record, clock), [], clock
    )
    monkeypatch.setattr(exchange, "interval", lambda: 60.0)
    sent = []
    monkeypatch.setattr(exchange, "send", lambda: sent.append(1))
    exchange.start()
    gevent.sleep(0.01)
    assert sent == [1]

    for _ in range(5):
        exchange.send_soon()
    gevent.sleep(report_exchange.URGENT_DELAY_S + 0.1)

    assert sent == [1, 1]
    exchange.close()
