//! Jobs: submission, placement, cancellation and the recorded history of each job.
//!
//! An entry node commits the row of a submission on its own ([`submission`]) and answers the caller
//! only afterwards. From then on the leader of the jobs duty ([`duty`]) is the only writer of the
//! row. Entry nodes notify the leader of submissions, cancellations and removals through rows of
//! its inbox ([`inbox`]), so that no request is lost when a node fails. Every call to a worker
//! follows a committed row that names it, so the next leader can continue from the rows alone.

pub mod duty;
pub mod inbox;
pub mod row;
pub mod spec;
pub mod submission;

pub use row::{Reason, Row, State};
pub use spec::Spec;
