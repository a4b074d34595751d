//! Tests of the stand-ins and of the decisions that run before them.

mod test_jobs;
mod test_proxy;
mod test_truth;
