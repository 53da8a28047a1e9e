//! A scheduler for agent programs whose callers are impatient, and the coordination parts that it
//! is built from.

pub mod cli;
pub mod code;
pub mod config;
pub mod effect;
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
