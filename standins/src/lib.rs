//! Stand-ins for what the system serves and uses.
