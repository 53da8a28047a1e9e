//! Request statistics and errors from the logs of gateways.

mod group;
mod line;
mod slice;

pub use group::{Field, Group, Groups};
pub use line::Line;
pub use slice::{Percentiles, Report, Summary};
