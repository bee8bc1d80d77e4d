//! Frames: a header, followed by records.

use std::io::Read;

use pumicehead_policy::Nanos;

use crate::WireError;

/// Length of a frame's header, in bytes.
const FRAME_HEADER_BYTES: usize = 20;
/// Length of a record's header, in bytes: the code, and the length of the body.
const RECORD_HEADER_BYTES: usize = 5;
/// Maximum length of the body of a frame, in bytes; keeps a corrupt length from exhausting memory.
const MAX_FRAME_BODY_BYTES: usize = 1 << 30;

/// Reads one frame into `frame`, replacing its content. Returns `false` if the input ends before a frame.
///
/// # Errors
/// If the input ends inside a frame, the length exceeds the maximum, or reading fails.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, WireError> {
    frame.clear();
    input.by_ref().take(FRAME_HEADER_BYTES as u64).read_to_end(frame)?;
    match frame.len() {
        0 => return Ok(false),
        FRAME_HEADER_BYTES => {}
        _ => return Err(WireError::ShortFrame),
    }
    let body_len = u32_at(frame, 0) as usize;
    if body_len > MAX_FRAME_BODY_BYTES {
        return Err(WireError::FrameLength(body_len));
    }
    if input.by_ref().take(body_len as u64).read_to_end(frame)? < body_len {
        return Err(WireError::ShortFrame);
    }
    Ok(true)
}

/// Header of a frame.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHeader {
    pub(crate) now: Nanos,
    pub(crate) record_count: u32,
    pub(crate) sequence_number: u32,
}

/// Splits a complete frame into its header and the bytes of its records.
pub(crate) fn split_frame(frame: &[u8]) -> Result<(FrameHeader, &[u8]), WireError> {
    let (header, records) = frame.split_at_checked(FRAME_HEADER_BYTES).ok_or(WireError::ShortFrame)?;
    let body_len = u32_at(header, 0) as usize;
    if body_len != records.len() {
        return Err(WireError::FrameLength(body_len));
    }
    let header = FrameHeader {
        now: u64::from(u32_at(header, 4)) | u64::from(u32_at(header, 8)) << 32,
        record_count: u32_at(header, 12),
        sequence_number: u32_at(header, 16),
    };
    Ok((header, records))
}

/// A record whose fields have not been decoded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RawRecord<'a> {
    pub(crate) code: u8,
    pub(crate) body: &'a [u8],
}

/// Removes the first record from `records` and returns it; `record` is its index in the frame, for errors.
pub(crate) fn take_record<'a>(records: &mut &'a [u8], record: u32) -> Result<RawRecord<'a>, WireError> {
    let past_frame = || WireError::PastFrame { record };
    let (header, rest) = records.split_at_checked(RECORD_HEADER_BYTES).ok_or_else(past_frame)?;
    let body_len = u32_at(header, 1) as usize;
    let (body, rest) = rest.split_at_checked(body_len).ok_or_else(past_frame)?;
    *records = rest;
    Ok(RawRecord { code: header[0], body })
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}
