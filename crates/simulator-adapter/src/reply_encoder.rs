//! Encodes the actions and log lines of the instances as a reply frame.

use pumicehead_policy::Action;

use crate::InstanceId;

/// Codes of the records of a reply.
mod code {
    pub(super) const START_ATTEMPT: u8 = 1;
    pub(super) const REJECT: u8 = 2;
    pub(super) const FAIL: u8 = 3;
    pub(super) const CANCEL_ATTEMPT: u8 = 4;
    pub(super) const ARM_TIMER: u8 = 5;
    pub(super) const CLOSE_IDLE_CONNECTIONS: u8 = 7;
    pub(super) const SEND_LOAD_REPORT: u8 = 8;
    pub(super) const LOG_LINE: u8 = 9;
    pub(super) const SUBSCRIBE: u8 = 11;
}

/// Length of a record's code, in bytes.
const CODE_BYTES: usize = 1;
/// Length of a record's header, in bytes: the code, and the length of the body.
const RECORD_HEADER_BYTES: usize = CODE_BYTES + 4;
/// Value that enables a subscription.
const SUBSCRIBE_ON: u8 = 1;

/// Collects the records of one reply frame.
#[derive(Debug, Default)]
pub struct ReplyEncoder {
    record_count: u32,
    records: Vec<u8>,
}

impl ReplyEncoder {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: InstanceId, action: &Action) {
        let start = self.records.len();
        match action {
            Action::StartAttempt { id, endpoint, timeout, .. } => {
                self.start_record(code::START_ATTEMPT, instance);
                self.put_u32(id.0);
                self.put_u32(endpoint.0);
                self.put_u64(timeout.unwrap_or(0));
            }
            Action::Reject { id, retry_after } => {
                self.start_record(code::REJECT, instance);
                self.put_u32(id.0);
                self.put_u64(retry_after.unwrap_or(0));
            }
            Action::Fail(id) => {
                self.start_record(code::FAIL, instance);
                self.put_u32(id.0);
            }
            Action::CancelAttempt { id, attempt } => {
                self.start_record(code::CANCEL_ATTEMPT, instance);
                self.put_u32(id.0);
                self.records.push(attempt.0);
            }
            Action::ArmTimer { at, token } => {
                self.start_record(code::ARM_TIMER, instance);
                self.put_u64(*at);
                self.put_u64(token.0);
            }
            Action::SendLoadReport { to, body } => {
                let len = u16::try_from(body.len()).unwrap_or_default();
                let text = &body[..usize::from(len)];
                self.start_record(code::SEND_LOAD_REPORT, instance);
                self.put_u32(*to);
                self.records.extend_from_slice(&len.to_le_bytes());
                self.records.extend_from_slice(text);
            }
            Action::CloseIdleConnections(endpoint) => {
                self.start_record(code::CLOSE_IDLE_CONNECTIONS, instance);
                self.put_u32(endpoint.0);
            }
            Action::Subscribe => {
                self.start_record(code::SUBSCRIBE, instance);
                self.records.push(SUBSCRIBE_ON);
            }
        }
        self.end_record(start);
    }

    /// Adds a line to the log of an instance, truncated to the maximum of its 16-bit length.
    pub fn log(&mut self, instance: InstanceId, line: &str) {
        let end = line.floor_char_boundary(usize::from(u16::MAX));
        let start = self.records.len();
        self.start_record(code::LOG_LINE, instance);
        self.records.extend_from_slice(&u16::try_from(end).unwrap_or_default().to_le_bytes());
        self.records.extend_from_slice(&line.as_bytes()[..end]);
        self.end_record(start);
    }

    /// Appends the frame to `out` and clears this reply.
    pub fn finish(&mut self, sequence_number: u32, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.record_count.to_le_bytes());
        let len = u32::try_from(self.records.len()).unwrap_or(u32::MAX);
        out.extend_from_slice(&len.to_le_bytes());
        out.extend_from_slice(&sequence_number.to_le_bytes());
        out.append(&mut self.records);
        self.record_count = 0;
    }

    /// Starts a record; [`Self::end_record`] fills in its length.
    fn start_record(&mut self, code: u8, instance: InstanceId) {
        self.records.push(code);
        self.put_u32(0);
        self.put_u32(instance);
    }

    /// Ends the record that starts at `start`: counts it and fills in the length of its body.
    fn end_record(&mut self, start: usize) {
        let body = start + RECORD_HEADER_BYTES;
        let len = u32::try_from(self.records.len() - body).unwrap_or(u32::MAX);
        self.records[start + CODE_BYTES..body].copy_from_slice(&len.to_le_bytes());
        self.record_count += 1;
    }

    fn put_u32(&mut self, value: u32) {
        self.records.extend_from_slice(&value.to_le_bytes());
    }

    fn put_u64(&mut self, value: u64) {
        self.records.extend_from_slice(&value.to_le_bytes());
    }
}
