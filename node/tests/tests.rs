//! Tests of the shell with real sockets.

mod keys;
mod test_fleet;
mod test_links;
mod test_nodes;
