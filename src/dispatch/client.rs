//! Acquires permits from the VM that dispatches a pool.

use super::duty::{Command, unavailable};
use super::{Grant, Key};
use crate::code::Failure;
use crate::id::Vm;
use crate::member::View;
use crate::peer;
use crate::policy::{Outcome, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

/// Delay before the dispatcher is looked up again after a lost connection.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Acquires permits from the dispatcher of a pool, on this VM or another.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) vm: Vm,
    pub(crate) dispatcher: flume::Sender<Command>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) connections: peer::Connections,
}

/// A granted permit. Returned as unused if dropped without [`Lease::finish`].
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) grant: Grant,
    key: Key,
    /// Where to return the permit; `None` once it was returned.
    issuer: Option<Issuer>,
}

#[derive(Debug)]
enum Issuer {
    Local(flume::Sender<Command>),
    // The end of this subscription returns the permit, also if this VM dies.
    Remote(peer::Connections, SocketAddr, peer::PermitStream),
}

impl Client {
    /// Waits for a permit without a time limit; dropping the future cancels the request.
    pub(crate) async fn acquire(&self, key: &Key, request: &Request) -> Result<Lease, Failure> {
        loop {
            let dispatcher = self
                .view
                .borrow()
                .preferred_member(&format!("dispatch/{key}"))
                .cloned();
            match dispatcher {
                Some(member) if member.vm != self.vm => {
                    match self
                        .connections
                        .acquire_permit(member.address, key, request)
                        .await
                    {
                        Ok((grant, stream)) => {
                            let connections = self.connections.clone();
                            let issuer = Some(Issuer::Remote(connections, member.address, stream));
                            return Ok(Lease {
                                grant: grant?,
                                key: key.clone(),
                                issuer,
                            });
                        }
                        Err(peer::Disconnected) => sleep(RETRY_DELAY).await,
                    }
                }
                _ => return self.acquire_local(key, request).await,
            }
        }
    }

    async fn acquire_local(&self, key: &Key, request: &Request) -> Result<Lease, Failure> {
        let (reply, receiver) = oneshot::channel();
        let command = Command::Acquire {
            key: key.clone(),
            request: Box::new(request.clone()),
            reply,
        };
        self.dispatcher
            .try_send(command)
            .map_err(|_| unavailable())?;
        let grant = receiver.await.map_err(|_| unavailable())??;
        Ok(Lease {
            grant,
            key: key.clone(),
            issuer: Some(Issuer::Local(self.dispatcher.clone())),
        })
    }
}

impl Lease {
    /// Returns the permit and reports the outcome of the call.
    pub(crate) async fn finish(mut self, outcome: Outcome) {
        let (key, permit) = (self.key.clone(), self.grant.permit);
        match self.issuer.take() {
            Some(Issuer::Local(dispatcher)) => {
                let command = Command::Finish {
                    key,
                    permit,
                    outcome: Some(outcome),
                };
                let _ = dispatcher.send_async(command).await;
            }
            Some(Issuer::Remote(connections, address, stream)) => {
                let _ = connections
                    .report_outcome(address, &key, permit, &outcome)
                    .await;
                drop(stream);
            }
            None => {}
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(Issuer::Local(dispatcher)) = self.issuer.take() {
            let (key, permit) = (self.key.clone(), self.grant.permit);
            let _ = dispatcher.try_send(Command::Finish {
                key,
                permit,
                outcome: None,
            });
        }
    }
}
