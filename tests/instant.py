"""A kernel and an AJP server that end what they are given by themselves."""

import threading

from stand_ins import AjpServer, Kernel


class InstantKernel(Kernel):
    """Ends each run at once, or so many seconds after it was given."""

    def __init__(self, body=b"one", after=0.0):
        super().__init__()
        self.body, self.after = body, after
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            rid = self.scheduled.get()[0]
            if self.after:
                threading.Timer(self.after, self.reap, (rid,), {"body": self.body}).start()
            else:
                self.reap(rid, body=self.body)


class InstantServer(AjpServer):
    """Answers each request at once, on its own connection's thread."""

    def __init__(self):
        super().__init__()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            self.got.get()[2](data=b"done")
