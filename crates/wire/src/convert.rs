//! Conversions between message fields and the ids of `base`.

use base::id;
use bytes::Bytes;

/// Why a message field is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A request id is not 16 bytes.
    #[error("request id has {0} bytes, expected 16")]
    RequestId(usize),
    /// An id is not valid.
    #[error("field {field} is not valid: {cause}")]
    Id {
        /// Name of the field.
        field: &'static str,
        /// Why the id is not valid.
        cause: id::IdError,
    },
}

/// Encodes a request id as a message field.
pub fn request_id_bytes(id: id::RequestId) -> Bytes {
    Bytes::copy_from_slice(&id.0.to_be_bytes())
}

/// Decodes a request id from a message field.
pub fn request_id(bytes: &[u8]) -> Result<id::RequestId, FieldError> {
    let array: [u8; 16] = bytes
        .try_into()
        .map_err(|_| FieldError::RequestId(bytes.len()))?;
    Ok(id::RequestId(u128::from_be_bytes(array)))
}

/// Parses a text id from a message field.
pub fn text_id<T: std::str::FromStr<Err = id::IdError>>(
    field: &'static str,
    text: &str,
) -> Result<T, FieldError> {
    text.parse()
        .map_err(|cause| FieldError::Id { field, cause })
}
