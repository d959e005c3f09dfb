//! Encoding of messages between processes as MessagePack.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Content type of encoded messages.
pub const WIRE_TYPE: &str = "application/msgpack";

/// Encodes a message as MessagePack.
///
/// # Panics
///
/// Panics if a field cannot be encoded. All fields of the messages of this workspace can be.
///
/// # Examples
///
/// ```
/// use bankvalve_link::{decode_message, encode_message};
///
/// let bytes = encode_message(&("entry-1", 7_u32));
/// assert_eq!(decode_message::<(String, u32)>(&bytes), Some(("entry-1".into(), 7)));
/// ```
pub fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("a message can be encoded")
}

/// Decodes a message; returns `None` if it is malformed.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
