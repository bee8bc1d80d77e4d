//! Errors of decoding the simulator's protocol.

use std::io;

use thiserror::Error;

use pumicehead_policy::SettingsError;

/// Why a frame can't be decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// The stream ended inside a frame.
    #[error("frame: input ended inside a frame")]
    ShortFrame,
    /// The length in the header exceeds the maximum or differs from the actual length.
    #[error("frame: length {0} in the header is too large or differs from the actual length")]
    FrameLength(usize),
    /// Bytes are left after the last record.
    #[error("frame: {0} bytes after the last record")]
    TrailingBytes(usize),
    /// A record's header or fields reach past the frame.
    #[error("record {record}: reaches past the end of the frame")]
    PastFrame {
        /// Index of the record in its frame.
        record: u32,
    },
    /// A field reaches past its record.
    #[error("record {record} ({name}): field `{field}` reaches past the end of the record")]
    PastRecord {
        /// Index of the record in its frame.
        record: u32,
        /// Name of the record's kind.
        name: &'static str,
        /// Name of the field.
        field: &'static str,
    },
    /// A record with an unknown code.
    #[error("record {record}: unknown code {code}")]
    UnknownCode {
        /// Index of the record in its frame.
        record: u32,
        /// The unknown code.
        code: u8,
    },
    /// A field's value is out of range.
    #[error("record {record} ({name}): `{field}` is {value}, which is not a valid value")]
    InvalidValue {
        /// Index of the record in its frame.
        record: u32,
        /// Name of the record's kind.
        name: &'static str,
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u64,
    },
    /// Settings that are not UTF-8.
    #[error("record {record} (begin): settings are not UTF-8")]
    SettingsText {
        /// Index of the record in its frame.
        record: u32,
    },
    /// Settings that are not the expected JSON.
    #[error("record {record} (begin): settings: {source}")]
    SettingsJson {
        /// Index of the record in its frame.
        record: u32,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// Settings that are inconsistent or out of range.
    #[error("record {record} (begin): {source}")]
    SettingsValue {
        /// Index of the record in its frame.
        record: u32,
        /// The rejected value.
        source: SettingsError,
    },
    /// Reading failed.
    #[error("input: {0}")]
    Io(#[from] io::Error),
}
