//! Calls to peers, each in a task of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use papayayard_wire::{id, peer, proof};
use tokio::sync::mpsc;

use crate::controllers::peers::{Message, Sent};

/// Bound on one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of HTTP and JSON-RPC around a call and its reply.
pub(super) const FRAME_BYTES: usize = 450;
/// Most connections that are kept.
const KEPT: usize = 256;

/// Clients of the peers called last.
pub(super) struct Pool {
    clients: HashMap<SocketAddr, HttpClient>,
    secret: proof::Secret,
    messages: mpsc::Sender<Message>,
}

impl Pool {
    /// A pool whose calls report to `messages`.
    pub(super) fn new(secret: proof::Secret, messages: mpsc::Sender<Message>) -> Self {
        Self {
            clients: HashMap::new(),
            secret,
            messages,
        }
    }

    /// Sends a call; its end comes as a message.
    pub(super) fn send(&mut self, sent: Sent, address: proof::Address) {
        let Some(client) = self.client(sent.address) else {
            log::warn!(peer:% = sent.address; "no client can be made for the peer");
            return;
        };
        let secret = self.secret.clone();
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let reply = call(&client, &secret, address, &sent).await;
            // A host that is stopping needs no reply.
            let ended = Message::Returned(Box::new(sent), reply.map(Box::new));
            let _ = messages.send(ended).await;
        });
    }

    fn client(&mut self, address: SocketAddr) -> Option<HttpClient> {
        if let Some(client) = self.clients.get(&address) {
            return Some(client.clone());
        }
        if self.clients.len() >= KEPT {
            self.clients.clear();
        }
        let limit = u32::try_from(proof::MAX_MESSAGE_BYTES).unwrap_or(u32::MAX);
        let client = HttpClientBuilder::new()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(limit)
            .build(format!("http://{address}"))
            .ok()?;
        self.clients.insert(address, client.clone());
        Some(client)
    }
}

/// A reply whose proof fits.
pub(super) struct Reply {
    /// Replier.
    pub(super) from: id::Host,
    /// What it says.
    pub(super) message: peer::Message,
    /// Bytes of the call and the reply.
    pub(super) bytes: usize,
}

async fn call(
    client: &HttpClient,
    secret: &proof::Secret,
    address: proof::Address,
    sent: &Sent,
) -> Result<Reply, String> {
    let nonce = address.nonce;
    let from = address.from.clone();
    let call = secret.seal(address, &sent.message);
    let call = call.map_err(|error| error.to_string())?;
    let call_bytes = call.bytes();
    let reply: Result<proof::Envelope, _> = client.request(peer::METHOD, rpc_params![call]).await;
    let reply = reply.map_err(|error| error.to_string())?;
    let message: Result<peer::Message, _> = secret.open(proof::Direction::Reply, &reply);
    let message = message.map_err(|error| error.to_string())?;
    let is_ours = reply.nonce == nonce && reply.to.as_ref() == Some(&from);
    let is_expected = sent.host.as_ref().is_none_or(|host| *host == reply.from);
    if !is_ours || !is_expected || !message.is_readable() {
        return Err(format!("{} answered another call", reply.from));
    }
    Ok(Reply {
        bytes: call_bytes + reply.bytes() + FRAME_BYTES,
        from: reply.from,
        message,
    })
}
