//! Connection of a caller, which reads no more than the present request needs.
//!
//! The HTTP library reads ahead as much as it gets. This stream gives it one head at a time, and
//! a body only as fast as the handler takes it, and enforces the times for heads and answers.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use futures::ready;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::head_scan::HeadScan;
use crate::limits::{ClientLimits, MAX_HEAD_BYTES, READ_WINDOW_BYTES, RejectCause};

/// Time for which callers' idle connections stay open: longer than the operators' limit.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Longest time for which the rest of a rejected request is discarded, so that the client can
/// read the answer.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Most bytes of one read from the socket.
const BLOCK_BYTES: usize = 8 * 1024;
/// Blocks discarded in one turn of a connection that is being closed.
const DISCARDED_BLOCKS: usize = 8;

/// What the stream may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPhase {
    /// The head of the next request.
    Head,
    /// Nothing: a whole head has been read, and its handler has not begun.
    Parsed,
    /// Nothing: a request is in progress.
    Held,
    /// A body, as far as the window permits.
    Body,
    /// Nothing more: what arrives is discarded.
    Closing,
}

/// State of a connection, shared by its stream, the handlers of its requests and the server.
pub struct Connection {
    pub peer: IpAddr,
    pub limits: ClientLimits,
    phase: Cell<ReadPhase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// Bytes that may be read of a body.
    window: Cell<usize>,
    /// Requests since the socket was last found empty that were read together with an earlier one.
    ahead: Cell<usize>,
    /// Whether the connection closes after the present answer.
    closing: Cell<bool>,
    displaced: Cell<bool>,
    /// Whether the connection ends before its next request.
    ending: Cell<bool>,
    /// Why the stream has ended the connection.
    cause: Cell<Option<RejectCause>>,
    reader: RefCell<Option<Waker>>,
}

impl Connection {
    #[must_use]
    pub fn open(peer: IpAddr, limits: ClientLimits) -> Rc<Self> {
        Rc::new(Self {
            peer,
            limits,
            phase: Cell::new(ReadPhase::Head),
            since: Cell::new(Instant::now()),
            window: Cell::new(0),
            ahead: Cell::new(0),
            closing: Cell::new(false),
            displaced: Cell::new(false),
            ending: Cell::new(false),
            cause: Cell::new(None),
            reader: RefCell::default(),
        })
    }

    /// Since when the connection waits for its client; `None` while a request is handled.
    #[must_use]
    pub fn waiting_since(&self) -> Option<Instant> {
        let waits =
            matches!(self.phase.get(), ReadPhase::Head | ReadPhase::Parsed | ReadPhase::Body);
        (waits && !self.displaced.get()).then(|| self.since.get())
    }

    /// Ends the connection after the present request, or after one that has arrived.
    pub fn end(&self) {
        self.ending.set(true);
        self.wake();
    }

    #[must_use]
    pub fn reads_body(&self) -> bool {
        self.phase.get() == ReadPhase::Body && !self.displaced.get()
    }

    /// Ends the connection in favour of another one.
    pub fn displace(&self) {
        self.displaced.set(true);
        self.wake();
    }

    /// Why the stream has ended the connection, if it has.
    #[must_use]
    pub fn cause(&self) -> Option<RejectCause> {
        self.cause.get()
    }

    /// Whether too many requests have arrived without a pause.
    #[must_use]
    pub fn exceeds_ahead(&self) -> bool {
        self.ahead.get() > self.limits.requests_ahead
    }

    /// Permits the body of the present request.
    pub fn permit_body(&self) {
        self.enter(ReadPhase::Body);
        self.window.set(READ_WINDOW_BYTES);
        self.wake();
    }

    /// Permits a further part of the body: the handler has taken all of it so far.
    pub fn widen(&self) {
        if self.window.replace(READ_WINDOW_BYTES) < READ_WINDOW_BYTES {
            self.wake();
        }
    }

    /// The handler of a request begins; nothing is read until it permits the body.
    pub fn begin(&self, has_body: bool) {
        self.closing.set(has_body);
        self.enter(ReadPhase::Held);
    }

    /// The whole body has been read.
    pub fn end_body(&self) {
        self.closing.set(false);
        self.enter(ReadPhase::Held);
    }

    /// Closes the connection after the answer.
    pub fn close_after(&self) {
        self.closing.set(true);
    }

    /// The request has its answer. Returns whether the connection closes: a part of the body
    /// has not been read, or the handler wants it.
    pub fn finish(&self) -> bool {
        let closing = self.closing.get() || self.ending.get();
        self.enter(if closing { ReadPhase::Closing } else { ReadPhase::Head });
        self.wake();
        closing
    }

    fn enter(&self, phase: ReadPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    fn wait(&self, context: &Context<'_>) {
        *self.reader.borrow_mut() = Some(context.waker().clone());
    }
}

/// The stream that the HTTP library reads and writes.
pub struct GuardedStream {
    stream: TcpStream,
    pub connection: Rc<Connection>,
    scan: HeadScan,
    /// Read from the socket, but not yet permitted.
    held: BytesMut,
    read_timer: Pin<Box<Sleep>>,
    /// Set while the client does not read.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    #[must_use]
    pub fn new(stream: TcpStream, connection: Rc<Connection>) -> Self {
        let read_timer = Box::pin(sleep_until(Instant::now() + KEEP_ALIVE));
        let (scan, held) = (HeadScan::default(), BytesMut::new());
        Self { stream, connection, scan, held, read_timer, write_timer: None }
    }

    /// Ends the connection; `answer` is sent if the socket takes it at once.
    fn fail(&self, cause: RejectCause, answer: &[u8]) -> io::Error {
        self.connection.cause.set(Some(cause));
        if !answer.is_empty()
            && let Err(error) = self.stream.try_write(answer)
        {
            log::debug!("could not answer a rejected request: {error}");
        }
        io::Error::new(ErrorKind::ConnectionAborted, cause.label())
    }

    /// Reads a block from the socket into `held`; 0 at its end.
    fn poll_block(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut block = [0; BLOCK_BYTES];
        let mut buffer = ReadBuf::new(&mut block);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        self.held.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }

    fn poll_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_ahead = !self.held.is_empty();
        if !is_ahead {
            match self.poll_block(context) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                // Nothing has arrived, so the client can send its next request elsewhere.
                Poll::Pending if self.connection.ending.get() && !self.scan.begun => {
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending => return self.poll_head_time(context),
            }
        }
        // Some clients send an empty line after a body, which does not begin the next head.
        let had_begun = self.scan.begun;
        let part = self.held.len().min(buffer.remaining());
        let end = self.scan.advance(&self.held[..part]);
        if self.scan.begun && !had_begun {
            self.connection.since.set(Instant::now());
            // A request in a block of its own may have been sent after the answer to the last one:
            // a busy process finds it in the socket all the same.
            if is_ahead {
                self.connection.ahead.set(self.connection.ahead.get().saturating_add(1));
            }
        }
        if self.scan.length > MAX_HEAD_BYTES {
            // The rest of the head is discarded: a reset would discard the answer.
            drop(self.fail(RejectCause::HeadSize, HEAD_TOO_LARGE));
            self.connection.enter(ReadPhase::Closing);
            return self.poll_discard(context);
        }
        if end.is_some() {
            self.scan = HeadScan::default();
            self.connection.enter(ReadPhase::Parsed);
        }
        self.release(buffer, end.unwrap_or(part));
        Poll::Ready(Ok(()))
    }

    /// Waits for a head until its time, or for the next request until the idle limit.
    fn poll_head_time(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.ahead.set(0);
        self.connection.wait(context);
        let begun = self.scan.begun;
        let limit =
            if begun { Duration::from_millis(self.connection.limits.head) } else { KEEP_ALIVE };
        ready!(self.poll_limit(context, limit));
        if begun {
            return Poll::Ready(Err(self.fail(RejectCause::HeadTime, HEAD_TOO_SLOW)));
        }
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Waits until the phase has lasted for `limit`.
    fn poll_limit(&mut self, context: &mut Context<'_>, limit: Duration) -> Poll<()> {
        let deadline = self.connection.since.get() + limit;
        if self.read_timer.deadline() != deadline {
            self.read_timer.as_mut().reset(deadline);
        }
        self.read_timer.as_mut().poll_elapsed(context)
    }

    /// Waits for the handler of a whole head. A head that the HTTP library does not take as whole
    /// ends with its time.
    fn poll_parsed(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.wait(context);
        let limit = Duration::from_millis(self.connection.limits.head);
        ready!(self.poll_limit(context, limit));
        Poll::Ready(Err(self.fail(RejectCause::HeadTime, HEAD_TOO_SLOW)))
    }

    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let window = self.connection.window.get().min(buffer.remaining());
        if window == 0 {
            self.connection.wait(context);
            return Poll::Pending;
        }
        if self.held.is_empty() {
            self.connection.wait(context);
            let count = ready!(self.poll_block(context))?;
            if count == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        let part = self.held.len().min(window);
        self.connection.window.set(self.connection.window.get() - part);
        self.release(buffer, part);
        Poll::Ready(Ok(()))
    }

    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.poll_limit(context, LINGER_TIME).is_ready() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        for _ in 0..DISCARDED_BLOCKS {
            self.held = BytesMut::new();
            if ready!(self.poll_block(context))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn release(&mut self, buffer: &mut ReadBuf<'_>, count: usize) {
        buffer.put_slice(&self.held[..count]);
        self.held.advance(count);
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
    }
}

/// Answer to a head over the limit.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Answer to a head that does not arrive in time.
const HEAD_TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

impl AsyncRead for GuardedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.connection.displaced.get() {
            return Poll::Ready(Err(this.fail(RejectCause::Displaced, b"")));
        }
        // A client that does not read its answers is not served further.
        if this.write_timer.is_some() && this.connection.phase.get() != ReadPhase::Closing {
            this.connection.wait(context);
            return Poll::Pending;
        }
        match this.connection.phase.get() {
            ReadPhase::Head => this.poll_head(context, buffer),
            ReadPhase::Parsed => this.poll_parsed(context),
            ReadPhase::Held => {
                this.connection.wait(context);
                Poll::Pending
            }
            ReadPhase::Body => this.poll_body(context, buffer),
            ReadPhase::Closing => this.poll_discard(context),
        }
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(&mut this.stream).poll_write(context, bytes) {
            Poll::Ready(Ok(count)) => {
                if count == bytes.len() && this.write_timer.take().is_some() {
                    this.connection.wake();
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                // The HTTP library does not read while it ends a connection.
                if this.connection.displaced.get() {
                    return Poll::Ready(Err(this.fail(RejectCause::Displaced, b"")));
                }
                this.connection.wait(context);
                let limit = Duration::from_millis(this.connection.limits.answer);
                let timer = this
                    .write_timer
                    .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
                ready!(timer.as_mut().poll_elapsed(context));
                Poll::Ready(Err(this.fail(RejectCause::AnswerTime, b"")))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

/// Polls a timer as a future.
trait PollElapsed {
    fn poll_elapsed(self, context: &mut Context<'_>) -> Poll<()>;
}

impl PollElapsed for Pin<&mut Sleep> {
    fn poll_elapsed(self, context: &mut Context<'_>) -> Poll<()> {
        std::future::Future::poll(self, context)
    }
}
