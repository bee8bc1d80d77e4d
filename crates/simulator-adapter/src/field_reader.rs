//! Reads the fields of one record, checked against the record's length.

use pumicehead_policy::AttemptOutcome;

use crate::WireError;
use crate::record_kind::RecordKind;

/// Length of a value of an endpoint's report, in bytes.
const REPORT_VALUE_BYTES: usize = 4;

/// The fields of one record that are not read yet. Each method takes the field's name for errors.
#[derive(Clone, Copy)]
pub(crate) struct FieldReader<'a> {
    record: u32,
    kind: RecordKind,
    unread: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// A reader of the record with number `record` in its frame.
    pub(crate) fn new(record: u32, kind: RecordKind, body: &'a [u8]) -> Self {
        Self { record, kind, unread: body }
    }

    /// A reader of a part of the same record.
    pub(crate) fn part(&self, bytes: &'a [u8]) -> Self {
        Self { unread: bytes, ..*self }
    }

    /// Number of the record in its frame.
    pub(crate) fn record(&self) -> u32 {
        self.record
    }

    /// Takes the next `len` bytes.
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

    /// The error of a field whose value is out of range.
    pub(crate) fn invalid_value(&self, field: &'static str, value: impl Into<u64>) -> WireError {
        WireError::InvalidValue {
            record: self.record,
            name: self.kind.wire_name(),
            field,
            value: value.into(),
        }
    }

    /// Reads how an attempt ended, stored as a status code.
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

    /// Skips an endpoint's report on itself: a count, then as many 32-bit values, none of which is used.
    pub(crate) fn skip_endpoint_report(&mut self) -> Result<(), WireError> {
        let count = usize::from(self.u8("telemetry")?);
        self.take("telemetry", count * REPORT_VALUE_BYTES).map(drop)
    }
}
