"""Caller library: sessions over one UDP socket, on trio."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import heapq
import itertools
import math
import random
import socket

import trio

from godwitturn.core import addresses
from godwitturn.core import retry
from godwitturn.core import session as sessions
from godwitturn.core import session_events
from godwitturn.protocol import packet as packets

# Buffers the answers to a few thousand sessions; the system may grant less.
_RECEIVE_BUFFER_BYTES = 4 << 20
# Maximum number of datagrams handled before other tasks run.
_MAX_DATAGRAMS_PER_WAKEUP = 64
# Minimum interval between attempts to replace a socket whose local address
# was removed.
_REBIND_INTERVAL_S = 1.0

Observer = Callable[[session_events.Action], None]


class ClientSession:
    """A session with one service, created by `Caller.open_session`.

    Attributes:
        service_id: Number of the service.
    """

    def __init__(
        self,
        caller: "Caller",
        core: sessions.Session,
        observer: Observer | None,
    ) -> None:
        self.service_id = core.service_id
        self._caller = caller
        self._core = core
        self._observer = observer
        self._numbers = itertools.count(1)
        self._done_event_by_number: dict[int, trio.Event] = {}
        self._outcome_by_number: dict[int, session_events.Outcome] = {}
        self._state_changed = trio.Event()
        self._scheduled_at = math.inf

    @property
    def state(self) -> session_events.State | None:
        """State of the session."""
        return self._core.state

    async def wait_open(self, timeout_s: float) -> bool:
        """Waits until a target has accepted a flow.

        `request` can be called without waiting.

        Args:
            timeout_s: Maximum number of seconds to wait.

        Returns:
            Whether the session is open.
        """
        with trio.move_on_after(timeout_s):
            while self.state is session_events.State.OPENING:
                await self._state_changed.wait()
        return self.state is session_events.State.OPEN

    async def request(
        self, body: bytes, *, idempotent: bool, timeout_s: float
    ) -> session_events.Outcome:
        """Sends a request and waits for its outcome.

        Cancelling the scope around this call cancels the request.

        Args:
            body: At most 1 MiB.
            idempotent: Whether it may run more than once.
            timeout_s: Seconds to wait for the answer. After a timeout, the
                call waits up to half a second longer for the verdict.

        Returns:
            The outcome. Its verdict is `RAN` with the complete answer,
            `NOT_RUN` if the request has certainly not run, or
            `MAY_HAVE_RUN`.
        """
        number = next(self._numbers)
        done = self._done_event_by_number[number] = trio.Event()
        deadline = trio.current_time() + timeout_s
        self._handle(session_events.Send(number, body, idempotent, deadline))
        try:
            await done.wait()
        except trio.Cancelled:
            # Already removed if the outcome arrived first.
            self._done_event_by_number.pop(number, None)
            self._handle(session_events.Cancel(number))
            raise
        finally:
            outcome = self._outcome_by_number.pop(number, None)
        assert outcome is not None
        return outcome

    def close(self) -> None:
        """Ends all requests and closes the flows."""
        self._handle(session_events.Close())

    def _handle(self, event: session_events.Event) -> None:
        for action in self._core.handle(event, now=trio.current_time()):
            self._apply_action(action)
        self._caller._schedule(self, self._core.wake_at)

    def _apply_action(self, action: session_events.Action) -> None:
        match action:
            case session_events.SendDatagram(data):
                self._caller._send(data)
                return
            case session_events.Completed(number, outcome):
                done = self._done_event_by_number.pop(number, None)
                if done is not None:
                    self._outcome_by_number[number] = outcome
                    done.set()
            case session_events.StateChanged(state):
                self._state_changed.set()
                self._state_changed = trio.Event()
                if state is session_events.State.CLOSED:
                    self._caller._remove_session(self)
            case session_events.FlowStarted(flow_id):
                self._caller._session_by_flow_id[flow_id] = self
            case session_events.FlowEnded(flow_id):
                self._caller._session_by_flow_id.pop(flow_id, None)
        if self._observer is not None:
            self._observer(action)


class Caller:
    """Many sessions over one UDP socket, created by `open_caller`.

    Attributes:
        address: Address of the fabric. Datagrams from other addresses are
            dropped.
        malformed: Number of malformed datagrams received.
        unsent: Number of datagrams that the system did not accept. They are
            retransmitted like lost ones.
    """

    def __init__(self, address: addresses.Address) -> None:
        self.address = address
        self.malformed = 0
        self.unsent = 0
        self._socket = self._connected_socket()
        self._next_rebind_at = -math.inf
        self._sessions: set[ClientSession] = set()
        self._session_by_flow_id: dict[int, ClientSession] = {}
        self._timers: list[tuple[float, int, ClientSession]] = []
        self._timer_numbers = itertools.count()
        self._timer_changed = trio.Event()

    def _connected_socket(self) -> socket.socket:
        is_v6 = ":" in self.address.host
        family = socket.AF_INET6 if is_v6 else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM)
        udp.setblocking(False)
        udp.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        udp.connect(self.address)
        return udp

    @property
    def local_address(self) -> addresses.Address:
        """Local address of the socket, which changes with `rebind`."""
        host, port = self._socket.getsockname()[:2]
        return addresses.Address(host, port)

    def open_session(
        self,
        service_id: int,
        *,
        random_source: random.Random | None = None,
        budget: retry.Budget | None = None,
        observer: Observer | None = None,
    ) -> ClientSession:
        """Opens a session; its requests wait until a target accepts a flow.

        Args:
            service_id: Number of the service.
            random_source: Source of flow ids and jitter; by default the
                system's.
            budget: Retry budget to share with other sessions. By default
                the session creates its own.
            observer: Called with each action except `SendDatagram`, for logs,
                metrics and histories.

        Raises:
            RuntimeError: The caller is closed.
        """
        if self._is_closed:
            raise RuntimeError(
                f"the caller to {self.address} is closed; open another one"
            )
        core = sessions.Session(
            service_id, random_source or random.SystemRandom(), budget=budget
        )
        session = ClientSession(self, core, observer)
        self._sessions.add(session)
        session._handle(session_events.Open())
        return session

    @property
    def _is_closed(self) -> bool:
        return self._socket.fileno() == -1

    def rebind(self) -> None:
        """Replaces the socket after a change of the local address.

        Flows continue; agents reply to the new address with a new token.
        """
        old_socket, self._socket = self._socket, self._connected_socket()
        trio.lowlevel.notify_closing(old_socket)
        old_socket.close()

    def close(self) -> None:
        """Closes all sessions and the socket."""
        for session in list(self._sessions):
            session.close()
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def _remove_session(self, session: ClientSession) -> None:
        self._sessions.discard(session)

    def _send(self, data: bytes) -> None:
        try:
            self._socket.send(data)
        except (BlockingIOError, ConnectionRefusedError):
            self.unsent += 1
        except OSError:
            self.unsent += 1
            self._try_rebind()

    def _try_rebind(self) -> None:
        now = trio.current_time()
        if self._is_closed or now < self._next_rebind_at:
            return
        self._next_rebind_at = now + _REBIND_INTERVAL_S
        with contextlib.suppress(OSError):
            self.rebind()

    def _schedule(self, session: ClientSession, wake_at: float) -> None:
        if wake_at >= session._scheduled_at:
            return
        session._scheduled_at = wake_at
        entry = (wake_at, next(self._timer_numbers), session)
        heapq.heappush(self._timers, entry)
        if self._timers[0] is entry:
            self._timer_changed.set()

    def _receive(self) -> None:
        for _ in range(_MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data = self._socket.recv(packets.MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # No more datagrams, or an ICMP error for a sent one.
                return
            packet = packets.decode(data)
            if packet is None:
                self.malformed += 1
                continue
            session = self._session_by_flow_id.get(packet.flow_id)
            if session is not None:
                session._handle(session_events.Datagram(packet))

    async def _run_receiver(self) -> None:
        while not self._is_closed:
            with contextlib.suppress(trio.ClosedResourceError):
                await trio.lowlevel.wait_readable(self._socket)
            self._receive()

    async def _run_timers(self) -> None:
        while True:
            self._timer_changed = trio.Event()
            self._run_due_timers()
            next_at = self._timers[0][0] if self._timers else math.inf
            with trio.move_on_at(next_at):
                await self._timer_changed.wait()

    def _run_due_timers(self) -> None:
        now = trio.current_time()
        while self._timers and self._timers[0][0] <= now:
            wake_at, _, session = heapq.heappop(self._timers)
            if wake_at != session._scheduled_at:
                continue
            session._scheduled_at = math.inf
            session._handle(session_events.Tick())


@contextlib.asynccontextmanager
async def open_caller(address: addresses.Address) -> AsyncIterator[Caller]:
    """Runs a caller with one socket for any number of sessions.

    Args:
        address: Address of the fabric; the host is an IP address.

    Raises:
        OSError: The socket can't be created.
    """
    caller = Caller(addresses.Address(*address))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller._run_receiver)
        nursery.start_soon(caller._run_timers)
        try:
            yield caller
        finally:
            caller.close()
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def connect(
    address: addresses.Address,
    service_id: int,
    *,
    random_source: random.Random | None = None,
    budget: retry.Budget | None = None,
    observer: Observer | None = None,
) -> AsyncIterator[ClientSession]:
    """Runs one session over a socket of its own.

    Args:
        address: Address of the fabric; the host is an IP address.
        service_id: Number of the service.
        random_source: See `Caller.open_session`.
        budget: See `Caller.open_session`.
        observer: See `Caller.open_session`.

    Raises:
        OSError: The socket can't be created.
    """
    async with open_caller(address) as caller:
        yield caller.open_session(
            service_id,
            random_source=random_source,
            budget=budget,
            observer=observer,
        )
