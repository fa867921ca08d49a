#!/usr/bin/env python3
"""Crowd of clients outside the limits, for client_crowd_test.sh.

Usage: client_crowd.py PORT METHOD PATH KIND COUNT READY_FILE
Opens COUNT connections to 127.0.0.1:PORT, sends what KIND says without reading any answer, creates READY_FILE and keeps
the connections open until it is killed. Connections that the server closes or refuses are ignored."""
import selectors
import socket
import sys
import time

BODY_BYTES = 262144  # largest legal body of a job
CHUNK_BYTES = 4096
PUMP_SECONDS = 4  # longest time for sending, if the server does not read everything
SLOW_SECONDS = 2  # time for which slow senders send one byte a round, some 200 in all
SLOW_ROUND_SECONDS = 0.01


def head(method, path, length_field):
    return (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer k1\r\n"
            f"Content-Type: application/json\r\n{length_field}\r\n\r\n").encode()


def job_of_many_fields():
    """A legal job whose unknown field holds as many values as fit into BODY_BYTES."""
    text = '{"spec":"text","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":0,"estimateMs":1000}],"x":['
    room = BODY_BYTES - len(text) - 2
    return (text + ",".join(["{}"] * (room // 3)) + "]}").encode()


def payload(kind, method, path):
    """The bytes that one connection sends, and the number of them in one call of send()."""
    length = head(method, path, f"Content-Length: {BODY_BYTES}")
    if kind == "whole":
        return length + b"x" * (BODY_BYTES - 1), BODY_BYTES * 2
    if kind == "pieces":
        return length + b"x" * (BODY_BYTES - 1), 2048
    if kind == "chunked":
        chunk = b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"
        return head(method, path, "Transfer-Encoding: chunked") + chunk * (BODY_BYTES // CHUNK_BYTES), 8192
    if kind == "over":
        large = 8 * BODY_BYTES
        return head(method, path, f"Content-Length: {large}") + b"x" * large, BODY_BYTES
    if kind == "fields":
        body = job_of_many_fields()
        return head(method, path, f"Content-Length: {len(body)}") + body, BODY_BYTES * 2
    if kind == "pipelined":
        return head("GET", path, "Accept: */*") * 4000, BODY_BYTES
    if kind == "slow":
        return length + b"x" * (BODY_BYTES - 1), 1
    if kind == "head":
        return length[:len(length) // 2], BODY_BYTES
    raise SystemExit(f"unknown kind {kind}")


def main():
    port, method, path, kind, count, ready_file = sys.argv[1:]
    data, step = payload(kind, method, path)
    selector = selectors.DefaultSelector()
    held = []
    for _ in range(int(count)):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        connection.connect_ex(("127.0.0.1", int(port)))
        held.append(connection)
        selector.register(connection, selectors.EVENT_WRITE, [0])
    end = time.monotonic() + (SLOW_SECONDS if kind == "slow" else PUMP_SECONDS)
    while selector.get_map() and time.monotonic() < end:
        for key, _ in selector.select(0.1):
            sent = key.data
            try:
                sent[0] += key.fileobj.send(data[sent[0]:sent[0] + step])
            except BlockingIOError:
                continue
            except OSError:
                sent[0] = len(data)
            if sent[0] >= len(data):
                selector.unregister(key.fileobj)
        if kind == "slow":
            time.sleep(SLOW_ROUND_SECONDS)
    with open(ready_file, "w", encoding="ascii") as ready:
        ready.write("ready\n")
    time.sleep(600)


main()
