//! Tests of the node crate with real sockets: links between nodes, complete nodes, and faulty endpoints.

mod caller;
mod cluster;
mod endpoint;
mod fake_platform;
mod hosted;
mod keys;
mod test_account_limits;
mod test_accounts;
mod test_answers;
mod test_capacity;
mod test_connections;
mod test_fleet;
mod test_handover;
mod test_hosted;
mod test_jobs;
mod test_keys;
mod test_links;
mod test_nodes;
mod test_recovery;
mod test_slots;
mod test_soak;
mod test_stop;
mod test_submissions;
mod test_twice;
