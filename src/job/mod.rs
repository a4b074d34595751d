//! Jobs: submission, placement, cancellation and the record of all that happened to them.
//!
//! An entry node commits a submission's row by itself ([`intake`]) and answers only then. The holder of
//! the jobs duty ([`duty`]) is the only writer of a job's row from there on. Entry nodes tell it of
//! submissions, cancellations and removals by rows of its inbox ([`inbox`]), so that nothing is lost with
//! a node. Every effect on a worker follows a committed row that names it, and a successor goes on from
//! the rows alone.

pub mod duty;
pub mod inbox;
pub mod intake;
pub mod row;
pub mod spec;

pub use row::{Reason, Row, State};
pub use spec::Spec;
