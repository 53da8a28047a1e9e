//! Collects the turns that precede a turn.

use super::{Gateway, MAX_HISTORY_BYTES};
use crate::code::{Code, Failure};
use crate::conversation::{History, Id, Turn};
use crate::gateway::peers::{Peer, Question, Reply};
use crate::telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Home VMs that are asked where a turn is. More than one, since VMs may disagree for a moment on
/// their order.
const MAX_HOMES_ASKED: usize = 3;
/// Times one home VM is asked: the VM that it names first may just have exited.
const MAX_ASKS_PER_HOME: usize = 2;
/// Time limit for a home VM to answer, which may include waiting for other buckets and reading this one from the store.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Limit on fetches for one history, if every turn is on a different VM.
const MAX_FETCHES: usize = 64;
/// `Retry-After` of a request whose history can't be read at the moment. Short outages of the store
/// and restarts of a VM last about as long.
const RETRY_AFTER: Duration = Duration::from_millis(600);

impl Gateway {
    /// The turns of a conversation up to `last`, oldest first.
    ///
    /// # Errors
    /// [`Code::UnknownTurn`] if a turn does not exist, [`Code::HistoryAway`] if that can't be
    /// determined at the moment, [`Code::TooLarge`] if the conversation exceeds the size limit.
    pub(crate) async fn load_history(self: &Rc<Self>, last: &Id) -> Result<Vec<Rc<Turn>>, Failure> {
        let conversations = &self.conversations;
        for _ in 0..MAX_FETCHES {
            let walk =
                conversations
                    .cache
                    .borrow_mut()
                    .history(Instant::now(), last, MAX_HISTORY_BYTES);
            let missing = match walk {
                History::Complete(turns) => return Ok(turns),
                History::TooLong => {
                    return Err(Failure::refused(
                        Code::TooLarge,
                        "the conversation exceeds the size limit",
                    ));
                }
                History::Missing(id) => id,
            };
            conversations.make_room()?;
            self.fetch_turn(&missing).await?;
        }
        Err(history_unavailable())
    }

    /// Fetches a turn, and the turns before it as far as the same VM has them, into memory.
    async fn fetch_turn(self: &Rc<Self>, id: &Id) -> Result<(), Failure> {
        let bucket = self.conversations.layout.bucket(id);
        for home in self.home_vms(bucket).into_iter().take(MAX_HOMES_ASKED) {
            match self.fetch_through_home(&home, id).await {
                Lookup::Cached => return Ok(()),
                Lookup::NotFound => return Err(unknown_turn()),
                // Another VM would read the same bucket once more.
                Lookup::InProgress => return Err(history_unavailable()),
                Lookup::Unknown => {}
            }
        }
        // The home VMs are gone or unreachable.
        match self.find_stored_turn(id).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(unknown_turn()),
            Err(fault) => {
                event!(
                    warn,
                    "history_away",
                    turn = id,
                    bucket = bucket,
                    reason = fault
                );
                Err(history_unavailable())
            }
        }
    }

    /// Asks one home VM where a turn is, and fetches it from there.
    async fn fetch_through_home(self: &Rc<Self>, home: &Peer, id: &Id) -> Lookup {
        let mut lost = None;
        for _ in 0..MAX_ASKS_PER_HOME {
            let reply = if home.vm == self.settings.vm {
                Some(self.locate(id, lost).await)
            } else {
                let turn = id.clone();
                let question = Question::Locate { turn, lost };
                let limit = self
                    .partitions
                    .store
                    .observer()
                    .scaled_timeout(LOCATE_TIMEOUT);
                match timeout(limit, self.peers.ask(home.address, &question)).await {
                    Ok(reply) => reply,
                    Err(_) => return Lookup::InProgress,
                }
            };
            let holder = match reply {
                Some(Reply::HeldAt(holder)) => holder,
                Some(Reply::NoTurn) => return Lookup::NotFound,
                _ => return Lookup::Unknown,
            };
            if holder == self.peer_address() {
                // Another VM named this one, which may have dropped the turn since.
                if self.conversations.find_cached(id).is_some() {
                    return Lookup::Cached;
                }
            } else if self.fetch_from(holder, id).await {
                return Lookup::Cached;
            }
            lost = Some(holder);
        }
        Lookup::Unknown
    }
}

/// Result of asking one home VM for a turn.
enum Lookup {
    /// The turn is in memory.
    Cached,
    /// The turn does not exist: every turn is at the store before its answer ends, and the store
    /// does not have it.
    NotFound,
    /// The VM is at work on it.
    InProgress,
    Unknown,
}

fn unknown_turn() -> Failure {
    Failure::refused(
        Code::UnknownTurn,
        "the turn to continue from does not exist",
    )
}

fn history_unavailable() -> Failure {
    let failure = Failure::refused(
        Code::HistoryAway,
        "the history of the conversation can't be read at the moment",
    );
    failure.retry_after(RETRY_AFTER)
}
