//! A scheduler for latency-sensitive agent programs, and the coordination modules that it is built
//! from.
//!
//! The modules below contain decision logic without I/O: their inputs are events and the time,
//! their outputs are decisions and actions. Each can be used without the daemon, and most have an
//! example in `examples/` that runs without a network.
//!
//! | Module | Decides | Example |
//! |---|---|---|
//! | [`journal`] | how records are written to a log and read back | `journal` |
//! | [`ownership`] | which VM owns a shard, by the order of the log alone | `ownership` |
//! | [`program`] | the order of calls, the history, the budget and the stored answers | `program` |
//! | [`effect`] | whether a call that must not be repeated may be sent | `effect` |
//! | [`conversation`] | the history of a turn, and which turns are not stored yet | |
//! | [`config`] | which configuration changes are accepted | `config` |
//! | [`explain`] | latency and error statistics from the logs of gateways | |
//! | [`policy`] | which call goes to which backend server, and when | `policy` |
//! | [`member`] | which VMs are alive, and what they announce about themselves | `member` |
//! | [`order`] | which orders bring an engine to its desired state | `order` |

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
pub mod segments;
pub mod settings;

mod acceptor;
mod backend;
mod clock;
mod command;
mod dispatch;
mod entry;
mod intake;
mod listener;
mod operator;
mod owner;
mod peer;
mod platform;
mod serve;
mod standin;
mod supervisor;
mod telemetry;
mod trial;
