"""UDP echo server, the baseline for the cost of the data path."""

import socket


def main() -> None:
    """Sends every datagram back to its source until the process is killed."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            server.setsockopt(socket.SOL_SOCKET, option, 4 << 20)
        server.bind(("127.0.0.1", 0))
        print(f"ready {server.getsockname()[1]}", flush=True)
        while True:
            data, source = server.recvfrom(2048)
            server.sendto(data, source)


if __name__ == "__main__":
    main()
