//! Commands of the leader that another node sends to workers on its behalf.
//!
//! The leader keeps one TCP connection to each relay. Both sides send frames with batches of messages, so that the
//! leader's cost for a command or a report is that of a few bytes. A relay keeps no state: it sends a command once and
//! returns the response. If it fails, the commands in progress count as unanswered and the leader sends the next ones
//! by another route.

pub mod link;
pub mod message;
pub mod server;
mod texts;

/// Maximum length of a frame, in bytes: a batch of the largest reports.
const FRAME_BYTES_MAX: usize = 8 << 20;

/// Maximum number of jobs whose text a relay keeps.
const TEXTS_MAX: usize = 1_024;

/// Returns the codec of both directions.
fn codec() -> tokio_util::codec::LengthDelimitedCodec {
    tokio_util::codec::LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}
