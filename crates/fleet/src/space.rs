//! Size accounting of a message of the exchange.

use base::id;
use prost::Message;
use wire::msg;

use crate::{convert, member, pack};

/// Space that is left in a message.
pub(crate) struct Space {
    /// Number of bytes that are left.
    pub(crate) remaining: i64,
}

/// Size of a field's tag and of the length of a record up to 16 KiB, in bytes.
pub(crate) const RECORD_OVERHEAD: usize = 3;

impl Space {
    pub(crate) fn new(limit: i64, message: &msg::Exchange) -> Self {
        let used = i64::try_from(message.encoded_len()).unwrap_or(i64::MAX);
        Self {
            remaining: limit - used,
        }
    }

    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        if bytes > self.remaining {
            return false;
        }
        self.remaining -= bytes;
        true
    }

    pub(crate) fn add_member(
        &mut self,
        message: &mut msg::Exchange,
        member: &member::Member,
    ) -> bool {
        let record = convert::member_record(member);
        let added = self.reserve(record.encoded_len() + RECORD_OVERHEAD);
        if added {
            message.members.push(record);
        }
        added
    }

    pub(crate) fn add_load(
        &mut self,
        message: &mut msg::Exchange,
        member: &member::Member,
    ) -> bool {
        let run = member::run_key(&member.process, member.incarnation);
        let version = message.sender.as_ref().map_or(0, |status| status.version);
        let version = id::Version(version);
        let loads = message.loads.get_or_insert_default();
        if loads.runs.contains(&run) {
            return true;
        }
        let columns = if loads.runs.is_empty() {
            pack::COLUMN_OVERHEAD
        } else {
            0
        };
        let load = member.load();
        let added = self.reserve(pack::size(&load, version) + columns);
        if added {
            pack::push(loads, run, &load, version);
        }
        added
    }

    pub(crate) fn add_suspect(&mut self, message: &mut msg::Exchange, entry: msg::Suspect) -> bool {
        let added = self.reserve(entry.encoded_len() + RECORD_OVERHEAD);
        if added {
            message.suspects.push(entry);
        }
        added
    }
}
