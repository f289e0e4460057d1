//! TCP streams that report when the peer closed the connection.
//!
//! `awc` ends a chunked body without an error if the connection closes before the last
//! chunk. A complete body ends at its last chunk, without a further read. So if the
//! connection closes while a body is polled, the body is truncated.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Set when a stream of the client reads the end of its connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct CloseFlag(Rc<Cell<bool>>);

impl CloseFlag {
    pub(crate) fn clear(&self) {
        self.0.set(false);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// A TCP stream that sets a flag at the end of its connection.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    stream: TcpStream,
    closed: CloseFlag,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream, closed: CloseFlag) -> Self {
        Self { stream, closed }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let ended = matches!(&read, Poll::Ready(Ok(()))) && buf.filled().len() == filled;
        if ended && buf.remaining() > 0 {
            self.closed.0.set(true);
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for WatchedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
