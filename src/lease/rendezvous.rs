//! Distribution of duties over nodes by rendezvous hashing.

use crate::id;
use crate::roster;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the node with the highest weight for a duty; the same on all nodes that see the same candidates.
///
/// The weight depends only on the node's name, so that a restarted node gets its duties back.
pub fn preferred<'a, I>(duty: &id::Duty, nodes: I) -> Option<&'a roster::NodeId>
where
    I: Iterator<Item = &'a roster::NodeId>,
{
    nodes.max_by_key(|node| (weight(duty.as_str(), node.node.as_str()), node.incarnation))
}

/// Returns the weight of a node for an item; the same in every process.
pub fn weight(item: &str, node: &str) -> u64 {
    let bytes = item.bytes().chain([0]).chain(node.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Mixes the input into all bits, because the high bits of FNV hashes of short texts are similar.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
