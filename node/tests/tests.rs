//! Tests of an entry node on real sockets, with tiny endpoints that misbehave.

mod caller;
mod cluster;
mod endpoint;
mod fake_platform;
mod test_answers;
mod test_connections;
mod test_keys;
mod test_stop;
//! Tests of the shell with real sockets.

mod keys;
mod test_links;
mod test_nodes;
