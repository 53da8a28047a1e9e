//! How an owner gets a permit from the VM that holds the queue of a pool.

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

/// The pause before a lost dispatcher is looked up again.
const RETRY: Duration = Duration::from_millis(100);

/// Asks the VM that holds the queue, wherever it is.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) vm: Vm,
    pub(crate) dispatcher: flume::Sender<Command>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) connections: peer::Links,
}

/// A permit in use. Dropped without [`Lease::finish`], it is given back.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) grant: Grant,
    key: Key,
    hold: Option<Hold>,
}

#[derive(Debug)]
enum Hold {
    Local(flume::Sender<Command>),
    // The dispatcher takes the permit back when this subscription ends, so a VM that dies holds
    // no window.
    Remote(peer::Links, SocketAddr, peer::PermitStream),
}

impl Client {
    /// Waits for a permit. The caller bounds the wait by dropping the future.
    pub(crate) async fn acquire(&self, key: &Key, ask: &Request) -> Result<Lease, Failure> {
        loop {
            let first = self
                .view
                .borrow()
                .first(&format!("dispatch/{key}"))
                .cloned();
            match first {
                Some(member) if member.vm != self.vm => {
                    match self.connections.permit(member.address, key, ask).await {
                        Ok((grant, stream)) => {
                            let links = self.connections.clone();
                            let hold = Some(Hold::Remote(links, member.address, stream));
                            return Ok(Lease {
                                grant: grant?,
                                key: key.clone(),
                                hold,
                            });
                        }
                        Err(peer::Lost) => sleep(RETRY).await,
                    }
                }
                _ => return self.acquire_here(key, ask).await,
            }
        }
    }

    async fn acquire_here(&self, key: &Key, ask: &Request) -> Result<Lease, Failure> {
        let (reply, wait) = oneshot::channel();
        let command = Command::Acquire {
            key: key.clone(),
            request: Box::new(ask.clone()),
            reply,
        };
        self.dispatcher
            .try_send(command)
            .map_err(|_| unavailable())?;
        let grant = wait.await.map_err(|_| unavailable())??;
        Ok(Lease {
            grant,
            key: key.clone(),
            hold: Some(Hold::Local(self.dispatcher.clone())),
        })
    }
}

impl Lease {
    /// Gives the permit back and tells how the call went.
    pub(crate) async fn finish(mut self, outcome: Outcome) {
        let (key, permit) = (self.key.clone(), self.grant.permit);
        match self.hold.take() {
            Some(Hold::Local(local)) => {
                let command = Command::Finish {
                    key,
                    permit,
                    outcome: Some(outcome),
                };
                let _ = local.send_async(command).await;
            }
            Some(Hold::Remote(links, address, stream)) => {
                let _ = links.done(address, &key, permit, &outcome).await;
                drop(stream);
            }
            None => {}
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(Hold::Local(local)) = self.hold.take() {
            let (key, permit) = (self.key.clone(), self.grant.permit);
            let _ = local.try_send(Command::Finish {
                key,
                permit,
                outcome: None,
            });
        }
    }
}
