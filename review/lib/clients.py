"""A client of the system, and the answers of sound servers."""

import http.client
import itertools
import threading

import standins as s

_numbers = itertools.count(1)


def attempt_id():
    return f"{next(_numbers):016x}"


class Answer:
    def __init__(self, status, headers, body, is_complete, error=""):
        self.status, self.headers, self.body, self.is_complete, self.error = status, headers, body, is_complete, error

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.error})"
        sealed = "sealed" if "x-response-seal" in self.headers else "own"
        return f"{self.status} {sealed} {len(self.body)} bytes" + ("" if self.is_complete else f" cut ({self.error})")


def send(record, vm, method, path, deadline_ms, body=None, headers=None, key=s.KEY, timeout=None, note=""):
    """Sends one client attempt on a new channel and returns its id and the answer."""
    number = attempt_id()
    sent = {"Host": s.HOST, "X-Attempt-Id": number, "X-Deadline-Ms": str(deadline_ms), "X-Credential": key, **(headers or {})}
    record.write(f"client sends {number} {method} {path} to {vm.name} {note}")
    channel = http.client.HTTPConnection(*vm.front(), timeout=timeout or deadline_ms / 1000 + 1)
    answer = None
    try:
        channel.request(method, path, body, sent)
        response = channel.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        try:
            answer = Answer(response.status, names, response.read(), True)
        except (http.client.HTTPException, OSError) as e:
            answer = Answer(response.status, names, getattr(e, "partial", b""), False, repr(e)[:80])
    except (http.client.HTTPException, OSError) as e:
        answer = Answer(None, {}, b"", False, repr(e)[:80])
    finally:
        channel.close()
    record.write(f"client has {number} {answer}")
    return number, answer


def run_plain(work_s=0.015):
    """Returns the answers of a server that runs each request."""

    def answer(upstream, http_call, body):
        number = http_call.headers.get("X-Attempt-Id", "")
        with upstream.lock:
            upstream.runs.append((s.now(), number, http_call.path, dict(http_call.headers)))
        upstream.record.write(f"{upstream.id} ({upstream.service}) runs {number} {http_call.command} {http_call.path}")
        threading.Event().wait(work_s)
        http_call.reply(200, {"ran": number, "at": upstream.id}, [
            ("X-Attempt-Id", number), ("X-Response-Seal", f"{upstream.id}.{number}"),
            ("X-Instance-Id", upstream.id), ("X-Instance-Load", f"1,0,{upstream.slots}"),
        ])

    return answer


PROMPT = {"X-Model": s.MODEL, "X-Token-Count": "17020,20"}


def run_stream(events=20, first_s=0.3, gap_s=0.15, drops=lambda upstream: True):
    """Returns the answers of an engine that runs each request as a stream of events and goes on after `Last-Event-Id`.

    It ends the work when the channel closes if `drops` says so; the pages state that most engines do.
    """

    def answer(upstream, http_call, body):
        number = http_call.headers.get("X-Attempt-Id", "")
        version = http_call.headers.get("X-Expect-Version")
        if version not in (None, str(upstream.version)):
            return http_call.reply(421, {}, [("X-Instance-Id", upstream.id), ("X-Attempt-Id", number), ("X-Not-Executed", "1")])
        first = int(http_call.headers.get("Last-Event-Id") or 0) + 1
        run = {"id": number, "start": s.now(), "end": None, "first": first, "cut": None}
        with upstream.lock:
            upstream.runs.append(run)
        upstream.record.write(f"{upstream.id} runs {number} from event {first}")

        def closed():
            if run["cut"] is None:
                run["cut"] = s.now()
                upstream.record.write(f"{upstream.id} sees the channel of {number} close")
            return drops(upstream)

        def is_open():
            try:
                http_call.connection.setblocking(False)
                return http_call.connection.recv(1) != b""
            except BlockingIOError:
                return True
            except OSError:
                return False
            finally:
                http_call.connection.setblocking(True)

        http_call.close_connection = True
        ended = False
        try:
            http_call.send_response(200)
            for name, value in [
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), ("X-Attempt-Id", number),
                ("X-Response-Seal", f"{upstream.id}.{number}"), ("X-Instance-Id", upstream.id),
                ("X-Weight-Versions", str(upstream.version)), ("X-Instance-Load", f"1,0,{upstream.slots}"),
                ("Connection", "close"),
            ]:
                http_call.send_header(name, value)
            http_call.end_headers()
        except OSError:
            ended = closed()
        for event in range(first, events + 1):
            until = s.now() + (first_s if event == first else gap_s)
            while not ended and s.now() < until:
                threading.Event().wait(0.02)
                if run["cut"] is None and not is_open():
                    ended = closed()
            if ended:
                break
            data = f"id: {event}\ndata: {number}-{event}\n\n".encode()
            if run["cut"] is None:
                try:
                    http_call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                except OSError:
                    ended = closed()
        if not ended and run["cut"] is None:
            try:
                http_call.wfile.write(b"0\r\n\r\n")
            except OSError:
                pass
        run["end"] = s.now()
        upstream.record.write(f"{upstream.id} ends its work on {number}")

    return answer
