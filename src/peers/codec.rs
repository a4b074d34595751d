//! Messages as bytes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// The most bytes of one message between nodes.
pub const MESSAGE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A message that can't be read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The message is longer than [`MESSAGE_MAX_BYTES`].
    #[snafu(display("a message of {bytes} bytes is too long"))]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The bytes are no such message.
    #[snafu(display("not a message: {source}"))]
    Malformed {
        /// What the codec says.
        source: postcard::Error,
    },
}

/// Writes a message as bytes.
///
/// # Errors
///
/// [`Error::TooLong`] if it has more than [`MESSAGE_MAX_BYTES`]; [`Error::Malformed`] if it can't be written.
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

/// Reads a message that takes up all the bytes.
///
/// # Errors
///
/// [`Error::TooLong`] and [`Error::Malformed`]; trailing bytes are malformed too.
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
