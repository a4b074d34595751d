//! Encoding of messages between nodes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Maximum size of one message between nodes, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The error for a message that can't be decoded or encoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The message is longer than [`MESSAGE_MAX_BYTES`].
    #[snafu(display("a message of {bytes} bytes is too long"))]
    TooLong {
        /// Length of the message.
        bytes: usize,
    },
    /// The bytes are not a message of the expected type, or the message can't be encoded.
    #[snafu(display("not a message: {source}"))]
    Malformed {
        /// Error of the codec.
        source: postcard::Error,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`Error::TooLong`] if the result exceeds [`MESSAGE_MAX_BYTES`], and [`Error::Malformed`] if the message
/// can't be encoded.
pub fn encode<M>(message: &M) -> Result<Vec<u8>, Error>
where
    M: Serialize,
{
    let bytes = postcard::to_stdvec(message).context(MalformedSnafu)?;
    if bytes.len() > MESSAGE_MAX_BYTES {
        return TooLongSnafu { bytes: bytes.len() }.fail();
    }
    Ok(bytes)
}

/// Decodes a message that takes up all the bytes.
///
/// # Errors
///
/// Returns [`Error::TooLong`] if there are more than [`MESSAGE_MAX_BYTES`], and [`Error::Malformed`] if they are not
/// a message or bytes remain after it.
pub fn decode<M>(bytes: &[u8]) -> Result<M, Error>
where
    M: DeserializeOwned,
{
    if bytes.len() > MESSAGE_MAX_BYTES {
        return TooLongSnafu { bytes: bytes.len() }.fail();
    }
    let (message, rest) = postcard::take_from_bytes(bytes).context(MalformedSnafu)?;
    if !rest.is_empty() {
        return Err(postcard::Error::DeserializeBadEncoding).context(MalformedSnafu);
    }
    Ok(message)
}
