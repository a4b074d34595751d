//! Tests of the measurements, one module a command.

mod test_fleet;
