//! An HTTP/1 server whose connections can be dropped, refused or frozen.
//!
//! A refused connection is accepted and reset at once, so that the stand-in
//! keeps its port while it is down.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::answer;

/// Time that a client may take to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The exchange ends without an answer, and its connection is closed.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the stand-in dropped this connection on order; clear the fault to go on"))]
pub struct Dropped;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, or drops its connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<answer::Body>, Dropped>> + Send;
}

/// What passes through a server; clones act on the same server.
#[derive(Clone, Debug)]
pub struct Gate {
    state: Arc<Mutex<State>>,
    frozen: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    open: bool,
    life: CancellationToken,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                open: true,
                life: CancellationToken::new(),
            })),
            frozen: watch::Sender::new(false),
        }
    }
}

impl Gate {
    /// Resets every connection and every later one until [`Gate::open`].
    pub fn close(&self) {
        let mut state = self.lock();
        state.open = false;
        state.life.cancel();
    }

    /// Lets connections in again.
    pub fn open(&self) {
        let mut state = self.lock();
        if !state.open {
            state.open = true;
            state.life = CancellationToken::new();
        }
    }

    /// Sets whether exchanges stand still.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until exchanges move.
    pub async fn pass(&self) {
        if !*self.frozen.borrow() {
            return;
        }
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Exchanges that stand still.
    pub fn held(&self) -> usize {
        self.frozen.receiver_count()
    }

    fn life(&self) -> Option<CancellationToken> {
        let state = self.lock();
        state.open.then(|| state.life.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _stop: DropGuard,
}

impl Server {
    /// Binds `listen`, port 0 included, and serves.
    pub async fn start<Handle>(
        listen: SocketAddr,
        gate: Gate,
        handler: Arc<Handle>,
    ) -> io::Result<Self>
    where
        Handle: Handler,
    {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, gate, handler, stop.clone()));
        Ok(Self {
            address,
            _stop: stop.drop_guard(),
        })
    }

    /// Address that was bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<Handle>(
    listener: TcpListener,
    gate: Gate,
    handler: Arc<Handle>,
    stop: CancellationToken,
) where
    Handle: Handler,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let Some(life) = gate.life() else {
            let _ = socket.set_zero_linger();
            continue;
        };
        let _ = socket.set_nodelay(true);
        let connection = serve(socket, handler.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = life.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn serve<Handle>(socket: TcpStream, handler: Arc<Handle>)
where
    Handle: Handler,
{
    let service = service::service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = result {
        log::debug!(error:% = error; "connection ended");
    }
}
