//! Tests of the library, one module a slice.

mod fake_slots;
mod test_slots;
