//! The bytes of a message of the exchange.

use base::id;
use prost::Message;
use wire::msg;

use crate::{convert, member, pack};

/// The bytes that are left in a message.
pub(crate) struct Room {
    /// Bytes that are left.
    pub(crate) left: i64,
}

/// Bytes of a field's tag and of the length of a record up to 16 KiB.
pub(crate) const RECORD: usize = 3;

impl Room {
    pub(crate) fn new(limit: i64, message: &msg::Exchange) -> Self {
        let used = i64::try_from(message.encoded_len()).unwrap_or(i64::MAX);
        Self { left: limit - used }
    }

    pub(crate) fn take(&mut self, bytes: usize) -> bool {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        if bytes > self.left {
            return false;
        }
        self.left -= bytes;
        true
    }

    pub(crate) fn member(&mut self, message: &mut msg::Exchange, member: &member::Member) -> bool {
        let record = convert::member_record(member);
        let added = self.take(record.encoded_len() + RECORD);
        if added {
            message.members.push(record);
        }
        added
    }

    pub(crate) fn load(&mut self, message: &mut msg::Exchange, member: &member::Member) -> bool {
        let run = member::run(&member.process, member.incarnation);
        let version = message.sender.as_ref().map_or(0, |stamp| stamp.version);
        let version = id::Version(version);
        let loads = message.loads.get_or_insert_default();
        if loads.runs.contains(&run) {
            return true;
        }
        let columns = if loads.runs.is_empty() {
            pack::COLUMNS
        } else {
            0
        };
        let load = member.load();
        let added = self.take(pack::size(&load, version) + columns);
        if added {
            pack::push(loads, run, &load, version);
        }
        added
    }

    pub(crate) fn suspect(&mut self, message: &mut msg::Exchange, entry: msg::Suspect) -> bool {
        let added = self.take(entry.encoded_len() + RECORD);
        if added {
            message.suspects.push(entry);
        }
        added
    }
}
