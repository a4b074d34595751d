//! Tests of the `wasabiloft` executable, each in a temporary folder. There is one module per command or group.

mod processes;
mod test_check;
mod test_dev;
mod test_explain;
mod test_keys;
mod test_operate;
mod test_processes;
mod test_report;
mod workdir;
