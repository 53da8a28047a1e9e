//! A scheduler for agent programs whose callers are impatient, and the coordination parts that it
//! is built from.
//!
//! The parts decide and do no I/O: events and the time come in, verdicts and actions go out. Each
//! can be embedded without the daemon, and each has an example in `examples/` that runs without a
//! network.
//!
//! | Part | Decides | Example |
//! |---|---|---|
//! | [`journal`] | how records are written to a log and read back | `journal` |
//! | [`ownership`] | which VM owns a shard, by the order of the log alone | `ownership` |
//! | [`program`] | the order of calls, the history, the budget and the kept answers | `program` |
//! | [`effect`] | whether a call that must not be repeated may be sent | `effect` |
//! | [`conversation`] | which turns lead to a turn, and which the store still lacks | |
//! | [`config`] | which change of the configuration counts | `config` |
//! | [`explain`] | where time went, from the logs of gateways | |
//! | [`policy`] | which call goes to which backend server, and when | `policy` |
//! | [`member`] | which VMs are alive, and what they say of themselves | `member` |
//! | [`order`] | which orders an engine is given to reach its wanted state | `order` |

pub mod cli;
pub mod code;
pub mod config;
pub mod conversation;
pub mod effect;
pub mod explain;
pub mod gateway;
pub mod id;
pub mod journal;
pub mod member;
pub mod order;
pub mod ownership;
pub mod policy;
pub mod program;
pub mod settings;

mod acceptor;
mod backend;
mod clock;
mod command;
mod dispatch;
mod entry;
mod operator;
mod owner;
mod peer;
mod platform;
mod serve;
mod standin;
mod supervisor;
mod telemetry;
mod trial;
