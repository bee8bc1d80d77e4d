//! Reads the fields of one record and checks them against the length of the record.

use pumicehead_policy::AttemptOutcome;

use crate::WireError;
use crate::record_kind::RecordKind;

/// Length of one value in the telemetry of an endpoint, in bytes.
const TELEMETRY_VALUE_BYTES: usize = 4;

/// The unread fields of one record. Methods that read a field take its name for errors.
#[derive(Clone, Copy)]
pub(crate) struct FieldReader<'a> {
    record: u32,
    kind: RecordKind,
    unread: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Returns a reader of the record with index `record` in its frame.
    pub(crate) fn new(record: u32, kind: RecordKind, body: &'a [u8]) -> Self {
        Self { record, kind, unread: body }
    }

    /// Returns a reader of a part of the same record.
    pub(crate) fn part(&self, bytes: &'a [u8]) -> Self {
        Self { unread: bytes, ..*self }
    }

    /// Returns the index of the record in its frame.
    pub(crate) fn record(&self) -> u32 {
        self.record
    }

    /// Reads the next `len` bytes.
    pub(crate) fn take(&mut self, field: &'static str, len: usize) -> Result<&'a [u8], WireError> {
        let past_record = WireError::PastRecord { record: self.record, name: self.kind.wire_name(), field };
        let (taken, unread) = self.unread.split_at_checked(len).ok_or(past_record)?;
        self.unread = unread;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(field, N)?);
        Ok(bytes)
    }

    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        self.array(field).map(|[byte]| byte)
    }

    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.array(field).map(u16::from_le_bytes)
    }

    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.array(field).map(u32::from_le_bytes)
    }

    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.array(field).map(u64::from_le_bytes)
    }

    /// Returns the error for a field with an invalid value.
    pub(crate) fn invalid_value(&self, field: &'static str, value: impl Into<u64>) -> WireError {
        WireError::InvalidValue {
            record: self.record,
            name: self.kind.wire_name(),
            field,
            value: value.into(),
        }
    }

    /// Reads the outcome of an attempt, which is encoded as a status code.
    pub(crate) fn outcome(&mut self) -> Result<AttemptOutcome, WireError> {
        Ok(match self.u16("code")? {
            200 => AttemptOutcome::Success,
            502 => AttemptOutcome::Error,
            429 => AttemptOutcome::Rejected,
            408 => AttemptOutcome::TimedOut,
            521 => AttemptOutcome::ConnectFailed,
            520 => AttemptOutcome::Reset,
            444 => AttemptOutcome::Cancelled,
            409 => AttemptOutcome::NotSent,
            other => return Err(self.invalid_value("code", other)),
        })
    }

    /// Skips the telemetry of an endpoint: a count and as many 32-bit values, which are not used.
    pub(crate) fn skip_telemetry(&mut self) -> Result<(), WireError> {
        let count = usize::from(self.u8("telemetry")?);
        self.take("telemetry", count * TELEMETRY_VALUE_BYTES).map(drop)
    }
}
