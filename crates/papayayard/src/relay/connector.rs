//! Connects to endpoints, and tells whether an answer is the first on its connection.
//!
//! Only a connection's first answer certainly belongs to the request that was sent on it. Before
//! a later one, the endpoint may have sent an answer too many.
//!
//! A connection that ends while a request is written ends no answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures_util::TryFutureExt;
use futures_util::future::MapOk;
use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use papayayard_gateway::upload::Upload;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// Makes connections that count their answers.
#[derive(Clone)]
pub(super) struct Connector(pub(super) HttpConnector);

/// Whether a connection has given an answer, shared by all its answers.
#[derive(Clone, Default)]
pub(super) struct History(Arc<AtomicBool>);

impl History {
    /// Records an answer; returns whether it is the first.
    pub(super) fn record(&self) -> bool {
        !self.0.swap(true, Ordering::Relaxed)
    }
}

type Plain = <HttpConnector as Service<Uri>>::Response;
type Connecting = <HttpConnector as Service<Uri>>::Future;

/// A connection with its history.
pub(super) struct Stream {
    inner: Upload<TcpStream>,
    history: History,
}

impl Stream {
    fn new(plain: Plain) -> TokioIo<Self> {
        TokioIo::new(Self {
            inner: Upload::over(plain.into_inner()),
            history: History::default(),
        })
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Stream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<Connecting, fn(Plain) -> TokioIo<Stream>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.0.call(uri).map_ok(Stream::new)
    }
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.inner.get_ref().connected().extra(self.history.clone())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }
}
