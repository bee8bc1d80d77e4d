//! Frames and settings text to and from the module's interface. Decides nothing.
//!
//! A frame is little-endian without padding: a header, then records of a code, a length and fields.
//! Everything that is read is checked against the bounds of its record; whatever does not fit is a
//! [`WireError`] that names the record and the fault.

use std::io::{self, Read};
use std::sync::Arc;

use rustc_hash::FxHashMap;
use thiserror::Error;

use pumicehead_policy::deployment_settings::DeploymentSettings;
use pumicehead_policy::{
    Action, AttemptEnded, AttemptNo, AttemptOutcome, CellId, ClassId, EndpointId, EndpointInfo,
    EndpointState, EndpointUpdate, Event, Nanos, NewRequest, RequestId, Settings, SettingsError, TenantId,
    TimerToken, ZoneId,
};

/// Number of an instance on the wire.
pub type Instance = u32;

const HEADER: usize = 20;
const ENTRY: usize = 23;
/// Longest frame that is read; far above any real one, it keeps a bad length from exhausting memory.
const MAX_FRAME: usize = 1 << 30;
const LISTS: u32 = 16;
const HAS_HINT: u16 = 1;

/// A frame that cannot be understood.
#[derive(Debug, Error)]
pub enum WireError {
    /// The stream ended inside a frame.
    #[error("frame: input ended inside a frame")]
    ShortFrame,
    /// The frame's length cannot be right.
    #[error("frame: length {0} is not plausible")]
    FrameLength(usize),
    /// Bytes are left after the last record.
    #[error("frame: {0} bytes after its last record")]
    Trailing(usize),
    /// A record's header or fields reach past the frame.
    #[error("record {record}: it reaches past the end of the frame")]
    PastFrame {
        /// Position of the record in its frame.
        record: u32,
    },
    /// A field reaches past its record.
    #[error("record {record} ({name}): field `{field}` reaches past its end")]
    PastRecord {
        /// Position of the record in its frame.
        record: u32,
        /// Its name.
        name: &'static str,
        /// The field.
        field: &'static str,
    },
    /// A record of a code that does not exist.
    #[error("record {record}: unknown code {code}")]
    UnknownCode {
        /// Position of the record in its frame.
        record: u32,
        /// The code.
        code: u8,
    },
    /// A field's value has no meaning.
    #[error("record {record} ({name}): `{field}` is {value}, which has no meaning")]
    BadValue {
        /// Position of the record in its frame.
        record: u32,
        /// Its name.
        name: &'static str,
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
    },
    /// Settings that are not UTF-8.
    #[error("record {record} (begin): settings are not UTF-8")]
    SettingsText {
        /// Position of the record in its frame.
        record: u32,
    },
    /// Settings that are not the expected JSON.
    #[error("record {record} (begin): settings: {source}")]
    SettingsJson {
        /// Position of the record in its frame.
        record: u32,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// Settings that contradict themselves.
    #[error("record {record} (begin): {source}")]
    SettingsValue {
        /// Position of the record in its frame.
        record: u32,
        /// Which value.
        source: SettingsError,
    },
    /// Reading failed.
    #[error("input: {0}")]
    Io(#[from] io::Error),
}

/// A batch of records for the instances.
#[derive(Debug, Default)]
pub struct Batch {
    /// The clock.
    pub now: Nanos,
    /// Number of the batch.
    pub seq: u32,
    /// What happened, in order.
    pub input: Vec<(Instance, Input)>,
}

/// What a record means to one instance.
#[derive(Debug)]
pub enum Input {
    /// The instance starts.
    Begin {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is killed.
    Killed,
    /// An event of the module.
    Event(Event),
}

/// Reads one frame; `None` at a clean end of input.
///
/// # Errors
/// Input that ends inside a frame, or a length that is not plausible.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<Option<()>, WireError> {
    frame.clear();
    input.by_ref().take(HEADER as u64).read_to_end(frame)?;
    match frame.len() {
        0 => return Ok(None),
        HEADER => {}
        _ => return Err(WireError::ShortFrame),
    }
    let len = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    if len > MAX_FRAME {
        return Err(WireError::FrameLength(len));
    }
    if input.by_ref().take(len as u64).read_to_end(frame)? < len {
        return Err(WireError::ShortFrame);
    }
    Ok(Some(()))
}

/// Bounds of the indices that an instance's settings allow.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    classes: usize,
    tenants: usize,
    zones: u16,
}

/// Decodes batches; keeps the numbered server lists and the bounds of each instance's settings.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: FxHashMap<u32, Arc<[EndpointInfo]>>,
    bounds: FxHashMap<Instance, Bounds>,
}

impl Decoder {
    /// Decodes a whole frame as [`read_frame`] left it.
    ///
    /// # Errors
    /// The first fault found; nothing of the batch should be acted upon then.
    pub fn decode(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let Some((header, mut rest)) = frame.split_at_checked(HEADER) else {
            return Err(WireError::ShortFrame);
        };
        let word =
            |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        if word(0) as usize != rest.len() {
            return Err(WireError::FrameLength(word(0) as usize));
        }
        let now = u64::from(word(4)) | u64::from(word(8)) << 32;
        let mut batch = Batch { now, seq: word(16), input: Vec::new() };
        for record in 0..word(12) {
            let past = WireError::PastFrame { record };
            let Some((head, body)) = rest.split_at_checked(5) else { return Err(past) };
            let len = u32::from_le_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let Some((body, after)) = body.split_at_checked(len) else { return Err(past) };
            rest = after;
            let fields = Fields { record, name: "", left: body };
            if let Some(input) = self.record(head[0], fields)? {
                batch.input.push(input);
            }
        }
        if rest.is_empty() { Ok(batch) } else { Err(WireError::Trailing(rest.len())) }
    }

    fn record(&mut self, code: u8, mut f: Fields<'_>) -> Result<Option<(Instance, Input)>, WireError> {
        f.name = match code {
            1 => "begin",
            2 => "roster_change",
            3 => "new_request",
            4 => "streaming",
            5 => "ended",
            6 => "timed_out_client",
            7 => "timeout_fired",
            8 => "pong",
            9 => "note_from",
            10 => "killed",
            11 => "roster",
            _ => return Err(WireError::UnknownCode { record: f.record, code }),
        };
        if code == 11 {
            return self.roster(f).map(|()| None);
        }
        let instance = f.u32("i")?;
        if code == 1 {
            return self.begin(instance, f).map(|input| Some((instance, input)));
        }
        // An instance just killed, or never begun: its events concern nobody.
        let Some(&bounds) = self.bounds.get(&instance) else { return Ok(None) };
        let event = match code {
            2 => self.members(f, bounds)?,
            3 => new_request(f, bounds)?,
            4 => {
                let id = RequestId(f.u32("corr")?);
                f.u32("backend")?;
                f.u64("took_ns")?;
                Event::ResponseStarted { id, attempt: AttemptNo(f.u8("leg")?) }
            }
            5 => ended(f)?,
            6 => Event::ClientDisconnected(RequestId(f.u32("corr")?)),
            7 => Event::TimerFired(TimerToken(f.u64("token")?)),
            8 => {
                // The module neither probes nor needs what probes tell; they are only checked.
                f.u32("backend")?;
                f.outcome()?;
                f.u64("took_ns")?;
                f.report()?;
                return Ok(None);
            }
            9 => {
                let from = u32::from(f.u16("neighbour")?);
                let len = f.u16("body")?;
                Event::LoadReport { from, body: f.take("body", usize::from(len))?.to_vec() }
            }
            _ => {
                self.bounds.remove(&instance);
                return Ok(Some((instance, Input::Killed)));
            }
        };
        Ok(Some((instance, Input::Event(event))))
    }

    fn begin(&mut self, instance: Instance, mut f: Fields<'_>) -> Result<Input, WireError> {
        let seed = f.u64("entropy")?;
        let len = f.u32("boot_info")? as usize;
        let text = f.take("boot_info", len)?;
        let record = f.record;
        let text = std::str::from_utf8(text).map_err(|_| WireError::SettingsText { record })?;
        let boot: DeploymentSettings =
            serde_json::from_str(text).map_err(|source| WireError::SettingsJson { record, source })?;
        let settings = boot.settings().map_err(|source| WireError::SettingsValue { record, source })?;
        let bounds = Bounds {
            classes: settings.classes.len(),
            tenants: settings.tenants.len(),
            zones: settings.zone_count.max(1),
        };
        self.bounds.insert(instance, bounds);
        Ok(Input::Begin { seed, settings: Box::new(settings) })
    }

    fn roster(&mut self, mut f: Fields<'_>) -> Result<(), WireError> {
        let table = f.u32("table")?;
        if table >= LISTS {
            return Err(f.bad("table", table));
        }
        let count = f.u32("records")? as usize;
        let bytes = f.take("records", count.saturating_mul(ENTRY))?;
        let entries = bytes.chunks_exact(ENTRY).map(|chunk| {
            let mut e = Fields { left: chunk, ..f };
            let id = EndpointId(e.u32("backend")?);
            let zone = ZoneId(e.u16("site")?);
            e.u16("machine")?;
            Ok(EndpointInfo {
                id,
                zone,
                cell: CellId(e.u16("cohort")?),
                state: match e.u8("condition")? {
                    0 => EndpointState::Ready,
                    1 => EndpointState::Draining,
                    2 => EndpointState::Removed,
                    other => return Err(e.bad("condition", other)),
                },
                weight: f32::from_bits(e.u32("heft")?),
                started_at: e.u64("started_at_ns")?,
            })
        });
        let list = entries.collect::<Result<Arc<[EndpointInfo]>, WireError>>()?;
        self.lists.insert(table, list);
        Ok(())
    }

    fn members(&self, mut f: Fields<'_>, bounds: Bounds) -> Result<Event, WireError> {
        let table = f.u32("table")?;
        f.u32("epoch")?;
        let mode = f.u8("mode")?;
        if mode == 3 {
            return Ok(Event::EndpointsUpdated(EndpointUpdate::WatchFailed));
        }
        let list = self.lists.get(&table).ok_or_else(|| f.bad("table", table))?.clone();
        if let Some(beyond) = list.iter().find(|server| server.zone.0 >= bounds.zones) {
            return Err(f.bad("site", beyond.zone.0));
        }
        Ok(Event::EndpointsUpdated(match mode {
            0 => EndpointUpdate::Delta(list),
            1 => EndpointUpdate::Snapshot(list),
            2 => EndpointUpdate::Restored(list),
            other => return Err(f.bad("mode", other)),
        }))
    }
}

fn new_request(mut f: Fields<'_>, bounds: Bounds) -> Result<Event, WireError> {
    let id = RequestId(f.u32("corr")?);
    let hint = f.u64("hint_ns")?;
    let tenant = f.u32("account")?;
    let key = f.u64("partition_key")?;
    let not_after = f.u64("not_after_ns")?;
    let class = f.u16("qos")?;
    let bits = f.u16("bits")?;
    if usize::from(class) >= bounds.classes {
        return Err(f.bad("qos", class));
    }
    if bounds.tenants > 0 && tenant as usize >= bounds.tenants {
        return Err(f.bad("account", tenant));
    }
    Ok(Event::Request(NewRequest {
        id,
        class: ClassId(class),
        tenant: (bounds.tenants > 0).then_some(TenantId(tenant)),
        cost_hint: (bits & HAS_HINT != 0 && hint > 0).then_some(hint),
        key: (key != 0).then_some(key),
        deadline: not_after,
    }))
}

fn ended(mut f: Fields<'_>) -> Result<Event, WireError> {
    let id = RequestId(f.u32("corr")?);
    let complete = f.u8("complete")? != 0;
    let server = EndpointId(f.u32("backend")?);
    let outcome = f.outcome()?;
    let attempt = AttemptNo(f.u8("leg")?);
    let took = f.u64("took_ns")?;
    f.report()?;
    Ok(Event::AttemptEnded(AttemptEnded {
        id,
        attempt,
        endpoint: server,
        outcome,
        duration: took,
        final_answer: complete,
    }))
}

/// The fields of one record that are not read yet.
#[derive(Clone, Copy)]
struct Fields<'a> {
    record: u32,
    name: &'static str,
    left: &'a [u8],
}

impl<'a> Fields<'a> {
    fn take(&mut self, field: &'static str, len: usize) -> Result<&'a [u8], WireError> {
        let past = WireError::PastRecord { record: self.record, name: self.name, field };
        let (taken, left) = self.left.split_at_checked(len).ok_or(past)?;
        self.left = left;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(field, N)?);
        Ok(bytes)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        self.array(field).map(|[byte]| byte)
    }

    fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.array(field).map(u16::from_le_bytes)
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.array(field).map(u32::from_le_bytes)
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.array(field).map(u64::from_le_bytes)
    }

    fn bad(&self, field: &'static str, value: impl Into<u64>) -> WireError {
        WireError::BadValue { record: self.record, name: self.name, field, value: value.into() }
    }

    fn outcome(&mut self) -> Result<AttemptOutcome, WireError> {
        Ok(match self.u16("code")? {
            200 => AttemptOutcome::Success,
            502 => AttemptOutcome::Error,
            429 => AttemptOutcome::Rejected,
            408 => AttemptOutcome::TimedOut,
            521 => AttemptOutcome::ConnectFailed,
            520 => AttemptOutcome::Reset,
            444 => AttemptOutcome::Cancelled,
            409 => AttemptOutcome::NotSent,
            other => return Err(self.bad("code", other)),
        })
    }

    /// The module does not use load reports; their values are skipped, whatever they are.
    fn report(&mut self) -> Result<(), WireError> {
        let count = usize::from(self.u8("telemetry")?);
        self.take("telemetry", count * 4).map(drop)
    }
}

/// Collects the actions of one reply.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: Instance, action: &Action) {
        self.count += 1;
        match action {
            Action::StartAttempt { id, endpoint, timeout, .. } => {
                self.start(1, 20, instance);
                self.word(id.0);
                self.word(endpoint.0);
                self.long(timeout.unwrap_or(0));
            }
            Action::Reject { id, retry_after } => {
                self.start(2, 16, instance);
                self.word(id.0);
                self.long(retry_after.unwrap_or(0));
            }
            Action::Fail(id) => {
                self.start(3, 8, instance);
                self.word(id.0);
            }
            Action::CancelAttempt { id, attempt } => {
                self.start(4, 9, instance);
                self.word(id.0);
                self.body.push(attempt.0);
            }
            Action::ArmTimer { at, token } => {
                self.start(5, 20, instance);
                self.long(*at);
                self.long(token.0);
            }
            Action::SendLoadReport { to, body } => {
                let len = u16::try_from(body.len()).unwrap_or_default();
                let text = &body[..usize::from(len)];
                self.start(8, 10 + u32::from(len), instance);
                self.word(*to);
                self.body.extend_from_slice(&len.to_le_bytes());
                self.body.extend_from_slice(text);
            }
            Action::CloseIdleConnections(server) => {
                self.start(7, 8, instance);
                self.word(server.0);
            }
            Action::Subscribe => {
                self.start(11, 5, instance);
                self.body.push(1);
            }
        }
    }

    /// Adds a line for the log of an instance; a long one is cut.
    pub fn log(&mut self, instance: Instance, line: &str) {
        let end = line.floor_char_boundary(usize::from(u16::MAX));
        self.count += 1;
        self.start(9, 6 + u32::try_from(end).unwrap_or_default(), instance);
        self.body.extend_from_slice(&u16::try_from(end).unwrap_or_default().to_le_bytes());
        self.body.extend_from_slice(&line.as_bytes()[..end]);
    }

    /// Writes the whole frame to `out` and clears this reply.
    pub fn finish(&mut self, seq: u32, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.count.to_le_bytes());
        let len = u32::try_from(self.body.len()).unwrap_or(u32::MAX);
        out.extend_from_slice(&len.to_le_bytes());
        out.extend_from_slice(&seq.to_le_bytes());
        out.append(&mut self.body);
        self.count = 0;
    }

    fn start(&mut self, code: u8, len: u32, instance: Instance) {
        self.body.push(code);
        self.word(len);
        self.word(instance);
    }

    fn word(&mut self, value: u32) {
        self.body.extend_from_slice(&value.to_le_bytes());
    }

    fn long(&mut self, value: u64) {
        self.body.extend_from_slice(&value.to_le_bytes());
    }
}
