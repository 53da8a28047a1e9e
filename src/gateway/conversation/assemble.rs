//! Puts together what was said before a turn.

use super::{Gateway, HISTORY_BYTES};
use crate::code::{Code, Failure};
use crate::conversation::{Id, Turn, Walk};
use crate::gateway::peers::{Peer, Question, Reply};
use crate::telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// VMs that are asked where a turn is: members may disagree for a moment on who comes first.
const ASKED: usize = 3;
/// How often one VM is asked: the holder that it names first may have just ended.
const TWICE: usize = 2;
/// How long one VM is waited for: twice as long as a small one takes to read a bucket when many ask.
/// The next one is asked after that, while there is still time.
const PATIENCE: Duration = Duration::from_millis(600);
/// Turns that are looked for one by one, where each VM holds only one of them.
const FETCHES: usize = 64;
/// When a caller may come back whose conversation can't be read now: the store's short troubles and a
/// VM's restart last about as long.
const COME_BACK: Duration = Duration::from_millis(600);

impl Gateway {
    /// The turns that lead to `last`, the oldest first.
    ///
    /// # Errors
    /// [`Code::UnknownTurn`] where there certainly is no such turn, [`Code::HistoryAway`] where that
    /// can't be told now, [`Code::TooLarge`] where the conversation passes the bound.
    pub(crate) async fn history(self: &Rc<Self>, last: &Id) -> Result<Vec<Rc<Turn>>, Failure> {
        let all = &self.conversations;
        for _ in 0..FETCHES {
            let walk = all
                .cache
                .borrow_mut()
                .walk(Instant::now(), last, HISTORY_BYTES);
            let missing = match walk {
                Walk::Whole(turns) => return Ok(turns),
                Walk::TooLong => {
                    return Err(Failure::refused(
                        Code::TooLarge,
                        "the conversation is longer than is kept",
                    ));
                }
                Walk::Missing(id) => id,
            };
            self.fetch(&missing).await?;
        }
        Err(away())
    }

    /// Brings a turn, and what is with it, into memory.
    async fn fetch(self: &Rc<Self>, id: &Id) -> Result<(), Failure> {
        let bucket = self.conversations.layout.bucket(id);
        for home in self.homes(bucket).into_iter().take(ASKED) {
            match self.fetch_by(&home, id).await {
                Found::Here => return Ok(()),
                Found::Nowhere => return Err(unknown()),
                Found::Unknown => {}
            }
        }
        // The VMs that should know are gone or cut off.
        match self.conversations.seek(id).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(unknown()),
            Err(fault) => {
                event!(
                    warn,
                    "history_away",
                    turn = id,
                    bucket = bucket,
                    reason = fault
                );
                Err(away())
            }
        }
    }

    /// Asks one VM where a turn is, and gets it from there.
    async fn fetch_by(self: &Rc<Self>, home: &Peer, id: &Id) -> Found {
        let mut lost = None;
        for _ in 0..TWICE {
            let reply = if home.vm == self.settings.vm {
                Some(self.locate(id, lost).await)
            } else {
                let turn = id.clone();
                let question = Question::Locate { turn, lost };
                let reply = timeout(PATIENCE, self.peers.ask(home.address, &question));
                reply.await.ok().flatten()
            };
            let holder = match reply {
                Some(Reply::HeldAt(holder)) => holder,
                Some(Reply::NoTurn) => return Found::Nowhere,
                _ => return Found::Unknown,
            };
            if holder == self.address() {
                // This VM was named by another one, and may have dropped the turn since.
                if self.conversations.find(id).is_some() {
                    return Found::Here;
                }
            } else if self.fetch_from(holder, id).await {
                return Found::Here;
            }
            lost = Some(holder);
        }
        Found::Unknown
    }
}

/// What one VM could tell of a turn.
enum Found {
    /// It is in memory now.
    Here,
    /// There is no such turn: the store, which has each one before its answer ends, does not.
    Nowhere,
    Unknown,
}

fn unknown() -> Failure {
    Failure::refused(Code::UnknownTurn, "there is no such turn to go on from")
}

fn away() -> Failure {
    let failure = Failure::refused(Code::HistoryAway, "what was said before can't be read now");
    failure.retry_after(COME_BACK)
}
