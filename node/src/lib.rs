//! The shell around the decision library.
