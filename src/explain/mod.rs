//! Where time went and what was refused, from the log lines of VMs that forward requests.

mod group;
mod line;
mod slice;

pub use group::{Field, Group, Groups};
pub use line::Line;
pub use slice::{Report, Summary, Times};
