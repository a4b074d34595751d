//! A new leader holds off from machines that the previous leader commanded recently.

use proptest::{prop_assert, proptest};
use wasabiloft::batch::machine_commands;
use wasabiloft::clock::Instant;

const LEASE_MS: u64 = 3_000;

proptest! {
    #![proptest_config(crate::fixed_seed(500))]

    /// Guards against two leaders commanding one machine within a lease: the previous leader's clock lags by a
    /// response's delay, and it sends its command as late as it is allowed to.
    #[test]
    fn commands_of_two_leaders_are_a_lease_apart(
        commanded_ms in 10_000_u64..50_000,
        lag_ms in 0_u64..=400,
        wait_ms in 0_u64..5_000,
        send_delay_ms in 0_u64..=300,
        read_after_ms in 0_u64..6_000,
    ) {
        let written_ms = commanded_ms - lag_ms;
        let sent = machine_commands::may_send(Instant::from_ms(0), Instant::from_ms(wait_ms));
        if sent {
            let arrives_ms = commanded_ms + wait_ms + send_delay_ms;
            let read_ms = commanded_ms + read_after_ms;
            let next_ms = read_ms + machine_commands::holdoff_ms(written_ms, read_ms, LEASE_MS);
            prop_assert!(next_ms >= arrives_ms + LEASE_MS || read_ms >= arrives_ms + LEASE_MS);
        }
    }
}

#[test]
fn machines_without_a_recent_command_have_no_holdoff() {
    assert_eq!(machine_commands::holdoff_ms(1_000, 20_000, LEASE_MS), 0);
    assert!(machine_commands::holdoff_ms(19_000, 20_000, LEASE_MS) >= 2_000);
}

#[test]
fn a_command_that_waited_too_long_is_not_sent() {
    let written = Instant::from_ms(100);
    assert!(machine_commands::may_send(written, Instant::from_ms(130)));
    assert!(!machine_commands::may_send(
        written,
        Instant::from_ms(1_200)
    ));
}
