//! The opaque location hint that a caller may send back.
//!
//! A hint only says where a chat last ran. The signature keeps callers from
//! steering requests to a target of their choice.

use base::id;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of the signature that a hint carries.
const TAG: usize = 8;

/// Signs and checks hints; all routers of a fleet share the secret.
#[derive(Clone)]
pub struct Signer(Hmac<Sha256>);

impl Signer {
    /// Makes a signer from the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    fn tag(&self, chat: id::ChatHash, target: &str) -> String {
        let mut mac = self.0.clone();
        mac.update(&chat.0.to_le_bytes());
        mac.update(target.as_bytes());
        let tag = mac.finalize().into_bytes();
        tag[..TAG]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Makes the hint for a chat that ran at a target.
    pub fn sign(&self, chat: id::ChatHash, target: &id::TargetId) -> String {
        format!("{}.{target}", self.tag(chat, target.as_str()))
    }

    /// Returns the target, or none when the hint is not of this fleet and chat.
    pub fn verify(&self, chat: id::ChatHash, hint: &str) -> Option<id::TargetId> {
        let (tag, target) = hint.split_once('.')?;
        let expected = self.tag(chat, target);
        let equal: bool = expected.as_bytes().ct_eq(tag.as_bytes()).into();
        if !equal {
            return None;
        }
        target.parse().ok()
    }
}
