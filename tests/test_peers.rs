//! Late heartbeats, echoes, reports of silent members, and the codec.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabiloft::clock;
use wasabiloft::id;
use wasabiloft::peers;
use wasabiloft::roster;

fn member(name: u16) -> roster::Member {
    roster::Member {
        id: roster::NodeId {
            node: id::Node::from(format!("entry-{name}")),
            incarnation: roster::Incarnation(1),
        },
        address: std::net::SocketAddr::from(([127, 0, 0, 1], name)),
        data_centre: id::DataCentre::new("dc"),
    }
}

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_ms(ms)
}

/// Returns the state of the first of three nodes, after it has sent a heartbeat to the second.
fn first() -> peers::Peers {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut first = peers::Peers::new(member(0).id, at(0));
    let members = vec![member(0), member(1), member(2)];
    first.set_roster(at(0), &mut rng, &roster::Roster { head: 1, members });
    first.heartbeat(
        at(1_000),
        &member(1).id,
        peers::State::default(),
        false,
        None,
    );
    first
}

fn heartbeat(stamp_ms: u64, echo_ms: u64, head: u64) -> peers::Heartbeat {
    peers::Heartbeat {
        from: member(1).id,
        stamp: at(stamp_ms),
        echo: Some(at(echo_ms)),
        asks: false,
        supersedes: None,
        head,
        roster_head: 1,
        journal_version: 1,
        silent: Vec::new(),
        deltas: None,
    }
}

#[test]
fn a_late_heartbeat_is_ignored() {
    let mut first = first();
    assert!(first.on_heartbeat(at(1_010), &heartbeat(500, 1_000, 3)));
    assert!(!first.on_heartbeat(at(9_000), &heartbeat(499, 1_000, 4)));
    let peer = first.peer(&member(1).id).expect("a heartbeat was received");
    assert_eq!((peer.last_received_at, peer.head), (at(1_010), 3));
}

#[test]
fn a_majority_confirms_a_head_from_the_echoed_stamp() {
    let mut first = first();
    first.on_heartbeat(at(8_000), &heartbeat(500, 1_000, 3));
    assert_eq!(first.confirmed_at(at(8_000), 3), Some(at(1_000)));
    // The peer's greater head shows that this node's head is not the newest.
    assert_eq!(first.confirmed_at(at(8_000), 2), None);
}

#[test]
fn an_echo_of_a_stamp_that_was_never_sent_is_ignored() {
    let mut first = first();
    first.on_heartbeat(at(1_010), &heartbeat(500, 900_000, 3));
    assert_eq!(first.confirmed_at(at(1_010), 3), None);
}

#[test]
fn one_reporter_is_no_majority() {
    let mut first = first();
    let late = at(peers::SILENT_MS + 2_000);
    first.on_heartbeat(late, &heartbeat(500, 1_000, 3));
    assert!(first.silent_by_majority(late).is_empty());
    let report = peers::Heartbeat {
        silent: vec![2],
        ..heartbeat(501, 1_000, 3)
    };
    first.on_heartbeat(late, &report);
    assert_eq!(first.silent_by_majority(late), vec![member(2).id]);
}

proptest! {
    #![proptest_config(crate::fixed_seed(512))]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = peers::codec::decode::<peers::Message>(&bytes) {
            let encoded = peers::codec::encode(&message).expect("the message was decoded");
            let decoded = peers::codec::decode::<peers::Message>(&encoded).expect("the message was encoded");
            prop_assert_eq!(decoded, message);
        }
    }

    #[test]
    fn a_corrupted_message_is_decoded_or_refused(
        stamp in any::<u64>(),
        head in any::<u64>(),
        silent in proptest::collection::vec(any::<u16>(), 0..20),
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let message = peers::Message::Heartbeat(peers::Heartbeat { silent, ..heartbeat(stamp, 7, head) });
        let mut bytes = peers::codec::encode(&message).expect("the message is short");
        prop_assert_eq!(&peers::codec::decode::<peers::Message>(&bytes).expect("the message was encoded"), &message);
        prop_assert!(peers::codec::decode::<peers::Message>(&bytes[..bytes.len() - 1]).is_err());
        let index = index.index(bytes.len());
        bytes[index] = byte;
        if let Ok(decoded) = peers::codec::decode::<peers::Message>(&bytes) {
            prop_assert!(peers::codec::encode(&decoded).is_ok());
        }
    }
}
