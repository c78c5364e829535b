"""Runs stand-ins and two entry hosts, and sends one request of each kind."""

from __future__ import annotations

import argparse
import contextlib
import signal

from standins import fleet

LISTEN = "127.0.0.1:18080"
HOSTS = ["regina-1", "saskatoon-1"]


def main() -> None:
    """Starts the fleet, runs `coltsfootarch demo` and prints its output."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="go on running until Ctrl-C"
    )
    options = parser.parse_args()
    demo = fleet.Fleet(HOSTS, listen=LISTEN)
    try:
        demo.start()
        account, key = next(iter(demo.keys.items()))
        for host in HOSTS:
            print(f"entry host {host}: {demo.url(host)}")
        print(f"table service: {demo.tables}")
        print(f"key of {account}: {key}")
        result = demo.command(
            "demo", "--gateway", demo.url(HOSTS[0]), "--key", key, check=False
        )
        print(result.stdout + result.stderr)
        print(demo.command("config", "status", check=False).stdout)
        if result.returncode:
            raise SystemExit(result.returncode)
        if options.keep:
            with contextlib.suppress(KeyboardInterrupt):
                signal.pause()
    finally:
        demo.close()


if __name__ == "__main__":
    main()
