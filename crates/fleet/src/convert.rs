//! Conversions between wire messages and the types of this crate.

use std::net;

use base::{id, span, time};
use wire::{convert, msg};

use crate::member;

/// Unit of ages in messages, in microseconds: a tenth of a second.
const AGE_UNIT: u64 = 100_000;

/// Error of a record that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A field is not a valid id.
    #[error(transparent)]
    Field(#[from] convert::FieldError),
    /// The address is not an IP address with a port.
    #[error("address {0:?} is not an IP address with a port")]
    Address(String),
    /// The standing or the role has an unknown number.
    #[error("field {field} has the unknown value {value}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Number in the message.
        value: i32,
    },
}

/// Decodes a standing.
pub fn standing(value: i32) -> Result<member::Standing, RecordError> {
    let field = "standing";
    let standing =
        msg::Standing::try_from(value).map_err(|_| RecordError::Value { field, value })?;
    Ok(match standing {
        msg::Standing::Listed => member::Standing::Listed,
        msg::Standing::Warming => member::Standing::Warming,
        msg::Standing::Up => member::Standing::Up,
        msg::Standing::Leaving => member::Standing::Leaving,
        msg::Standing::Down => member::Standing::Down,
    })
}

/// Encodes a standing.
pub fn standing_number(standing: member::Standing) -> i32 {
    let standing = match standing {
        member::Standing::Listed => msg::Standing::Listed,
        member::Standing::Warming => msg::Standing::Warming,
        member::Standing::Up => msg::Standing::Up,
        member::Standing::Leaving => msg::Standing::Leaving,
        member::Standing::Down => msg::Standing::Down,
    };
    standing as i32
}

/// Decodes a member record.
pub fn member(record: &msg::Member) -> Result<member::Member, RecordError> {
    let role = match msg::Role::try_from(record.role) {
        Ok(msg::Role::Router) => member::Role::Router,
        Ok(msg::Role::Agent) => member::Role::Agent,
        Err(_) => {
            let (field, value) = ("role", record.role);
            return Err(RecordError::Value { field, value });
        }
    };
    let address: net::SocketAddr = record
        .address
        .parse()
        .map_err(|_| RecordError::Address(record.address.clone()))?;
    Ok(member::Member {
        process: convert::text_id("process", &record.process)?,
        incarnation: id::Incarnation(record.incarnation),
        sequence: id::Sequence(record.sequence),
        role,
        address,
        centre: convert::text_id("centre", &record.centre)?,
        service: optional("service", &record.service)?,
        target: optional("target", &record.target)?,
        weight: record.weight,
        standing: standing(record.standing)?,
        version: id::Version(record.version),
        load: record.load,
        cap: record.cap,
        age: age(record.age),
    })
}

/// Encodes a member record.
pub fn member_record(member: &member::Member) -> msg::Member {
    let role = match member.role {
        member::Role::Router => msg::Role::Router,
        member::Role::Agent => msg::Role::Agent,
    };
    msg::Member {
        process: member.process.to_string(),
        incarnation: member.incarnation.0,
        sequence: member.sequence.0,
        role: role as i32,
        address: member.address.to_string(),
        centre: member.centre.to_string(),
        service: text(member.service.as_ref()),
        target: text(member.target.as_ref()),
        weight: member.weight,
        standing: standing_number(member.standing),
        version: member.version.0,
        load: member.load,
        cap: member.cap,
        age: age_number(member.age),
    }
}

/// Decodes a load record.
pub fn load(record: &msg::Load) -> Result<member::Load, RecordError> {
    Ok(member::Load {
        process: record.process,
        incarnation: id::Incarnation(record.incarnation),
        sequence: id::Sequence(record.sequence),
        standing: standing(record.standing)?,
        version: id::Version(record.version),
        load: record.load,
        cap: record.cap,
        age: age(record.age),
    })
}

/// Encodes a load record.
pub fn load_record(load: &member::Load) -> msg::Load {
    msg::Load {
        process: load.process,
        incarnation: load.incarnation.0,
        sequence: load.sequence.0,
        load: load.load,
        cap: load.cap,
        version: load.version.0,
        age: age_number(load.age),
        standing: standing_number(load.standing),
    }
}

/// Decodes a sender status.
pub fn sender_status(record: &msg::SenderStatus) -> Result<member::SenderStatus, RecordError> {
    Ok(member::SenderStatus {
        process: convert::text_id("process", &record.process)?,
        incarnation: id::Incarnation(record.incarnation),
        standing: standing(record.standing)?,
        version: id::Version(record.version),
        load: record.load,
        cap: record.cap,
        sequence: id::Sequence(record.sequence),
        waiting: record.waiting,
    })
}

/// Encodes the sender status of the process that `member` describes.
pub fn sender_status_record(member: &member::Member) -> msg::SenderStatus {
    msg::SenderStatus {
        epoch: 0,
        sequence: member.sequence.0,
        waiting: 0,
        process: member.process.to_string(),
        incarnation: member.incarnation.0,
        version: member.version.0,
        load: member.load,
        cap: member.cap,
        standing: standing_number(member.standing),
    }
}

/// Returns when a remaining time in milliseconds ends, on this process's clock.
pub(crate) fn until(now: time::Mono, remaining: u32) -> time::Mono {
    now + span::Span::from_millis(u64::from(remaining))
}

fn optional<T: std::str::FromStr<Err = id::IdError>>(
    field: &'static str,
    value: &str,
) -> Result<Option<T>, RecordError> {
    if value.is_empty() {
        return Ok(None);
    }
    Ok(Some(convert::text_id(field, value)?))
}

fn text(id: Option<&impl ToString>) -> String {
    id.map(ToString::to_string).unwrap_or_default()
}

fn age(number: u32) -> span::Span {
    span::Span::from_micros(u64::from(number) * AGE_UNIT)
}

/// Encodes an age. Rounds up, so that the age of a circulating report always
/// increases.
fn age_number(age: span::Span) -> u32 {
    u32::try_from(age.as_micros().div_ceil(AGE_UNIT)).unwrap_or(u32::MAX)
}
