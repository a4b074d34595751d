//! Tests of the decision library, a module for each slice.

mod test_document;
