//! The peers' listener: JSON-RPC over HTTP, one method.

use std::io;
use std::net::TcpListener;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use papayayard_wire::{peer, proof};
use tokio::sync::{mpsc, oneshot};

use crate::controllers::peers::Message;
use crate::metrics::Metrics;

/// Most connections of peers at once.
const CONNECTIONS: u32 = 1_024;
/// JSON-RPC error code of a refused call.
const REFUSED: i32 = -32_001;

#[derive(Clone)]
struct Context {
    messages: mpsc::Sender<Message>,
    metrics: Metrics,
}

/// Serves peers' calls until the handle is dropped or stopped.
pub(super) fn start(
    listener: TcpListener,
    messages: mpsc::Sender<Message>,
    metrics: Metrics,
) -> io::Result<ServerHandle> {
    let limit = u32::try_from(proof::MAX_MESSAGE_BYTES).unwrap_or(u32::MAX);
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTIONS)
        .max_request_body_size(limit)
        .max_response_body_size(limit)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)?;
    let mut module = RpcModule::new(Context { messages, metrics });
    module
        .register_async_method(peer::METHOD, |params, context, _| async move {
            match params.one::<proof::Envelope>() {
                Ok(envelope) => answer(&context, envelope).await,
                Err(_) => Err(refuse(&context, &malformed())),
            }
        })
        .expect("a new module has no method of this name");
    Ok(server.start(module))
}

async fn answer(
    context: &Context,
    envelope: proof::Envelope,
) -> Result<proof::Envelope, ErrorObjectOwned> {
    let (sender, receiver) = oneshot::channel();
    let sent = context.messages.send(Message::Called(envelope, sender));
    if sent.await.is_err() {
        return Err(refuse(context, &stopping()));
    }
    let answer = receiver.await.unwrap_or_else(|_| Err(stopping()));
    answer.map_err(|error| refuse(context, &error))
}

fn refuse(context: &Context, error: &proof::Error) -> ErrorObjectOwned {
    context.metrics.peer_refused(error.as_str());
    ErrorObjectOwned::owned(REFUSED, error.to_string(), None::<()>)
}

fn malformed() -> proof::Error {
    proof::Error::Malformed {
        reason: "it is no envelope".to_owned(),
    }
}

fn stopping() -> proof::Error {
    proof::Error::Malformed {
        reason: "this host is stopping".to_owned(),
    }
}
