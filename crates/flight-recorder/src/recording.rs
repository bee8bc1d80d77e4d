//! File format of recordings.
//!
//! Eight bytes of magic, the version as two bytes (little endian), then frames: a kind, the length and the CRC-32 (IEEE 802.3)
//! of kind and contents as four bytes each, and the contents. The header as JSON comes first; then the ledger, timelines and pages
//! of events, the most important first; an end frame is last. Reading stops at a damaged frame and keeps all before it. Frames of
//! unknown kinds are skipped: a later version may add some without a new version number.

use pumicehead_policy::Nanos;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::PoolId;
use crate::event_codec::read_name;
use crate::event_ring::{Record, decode_records};
use crate::loss_cause::LossCause;
use crate::loss_ledger::LossLedger;
use crate::request_timeline::{ClassInfo, RequestTimeline};
use crate::tenant_names::TenantNames;
use crate::wire_format::{Reader, put_bytes, put_optional_varint, put_varint};

/// First bytes of a recording.
pub const MAGIC: &[u8; 8] = b"PHEADREC";
/// Version that is written, and the latest that can be read.
pub const VERSION: u16 = 1;
/// Size of the largest recording that is read, in bytes.
pub const MAX_RECORDING_BYTES: usize = 256 << 20;
/// Greatest number of endpoint names in a pool; beyond it the oldest are dropped.
const MAX_ENDPOINT_NAMES: usize = 20_000;

// Kinds of frames.
const FRAME_HEADER: u8 = 1;
const FRAME_LEDGER: u8 = 2;
const FRAME_TIMELINE: u8 = 3;
const FRAME_EVENTS: u8 = 4;
const FRAME_END: u8 = 5;

/// The node, the time and the reason of a recording, and the names that its events refer to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordingHeader {
    /// The node's name.
    pub node: String,
    /// The version of the program.
    pub program: String,
    /// Start of the process, in nanoseconds of Unix time.
    pub start: Nanos,
    /// Time of the recording, on the same clock.
    pub at: Nanos,
    /// Why it was written.
    pub reason: String,
    /// Pools by their ids.
    pub pools: Vec<PoolHeader>,
    /// Names of tenants.
    pub tenants: TenantNames,
    /// Number of events that were overwritten in the ring.
    #[serde(rename = "wrapped")]
    pub overwritten_events: u64,
    /// Number of requests without a timeline for lack of memory.
    #[serde(rename = "untold")]
    pub untracked_requests: u64,
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolHeader {
    /// Its name.
    pub name: String,
    /// Its classes by their indices.
    pub classes: Vec<ClassHeader>,
    /// Names of tenants by their ids, in recordings of versions that stored them for each pool. Later versions store them in
    /// [`RecordingHeader::tenants`].
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<String>,
    /// Names of endpoints with their ids, in order of discovery.
    #[serde(rename = "servers")]
    pub endpoints: Vec<(u32, String)>,
}

/// A class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassHeader {
    /// Its name.
    pub name: String,
    /// Its latency objective.
    #[serde(rename = "aim_ns")]
    pub latency_objective_ns: Nanos,
    /// Its deadline.
    pub deadline_ns: Nanos,
    /// Weight of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that a late response earns.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
}

impl From<&ClassInfo> for ClassHeader {
    fn from(class: &ClassInfo) -> Self {
        Self {
            name: class.name.clone(),
            latency_objective_ns: class.latency_objective,
            deadline_ns: class.deadline,
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
        }
    }
}

impl RecordingHeader {
    /// Creates the header of a node.
    #[must_use]
    pub fn new(node: &str, start: Nanos) -> Self {
        Self { node: node.into(), program: env!("CARGO_PKG_VERSION").into(), start, ..Self::default() }
    }

    /// Returns a pool's name, or `other` if the pool is unknown.
    #[must_use]
    pub fn pool_name(&self, pool: PoolId) -> &str {
        self.pools.get(usize::from(pool.0)).map_or("other", |pool| &pool.name)
    }

    /// Returns a class's name, or `other` if the class is unknown.
    #[must_use]
    pub fn class_name(&self, pool: PoolId, class: u16) -> &str {
        let pool = self.pools.get(usize::from(pool.0));
        pool.and_then(|pool| pool.classes.get(usize::from(class))).map_or("other", |class| &class.name)
    }

    /// Returns a tenant's escaped name, or its id if there is none.
    #[must_use]
    pub fn tenant_name(&self, pool: PoolId, tenant: u32) -> String {
        let in_pool = || self.pools.get(usize::from(pool.0))?.tenants.get(tenant as usize);
        let name = self.tenants.get(tenant).or_else(|| in_pool().map(String::as_str));
        name.map_or_else(|| tenant.to_string(), crate::bounded_text::escape)
    }

    /// Returns an endpoint's escaped name, or its id if there is none.
    #[must_use]
    pub fn endpoint_name(&self, pool: PoolId, endpoint: u32) -> String {
        let pool = self.pools.get(usize::from(pool.0));
        let name = pool.and_then(|pool| pool.endpoints.iter().find(|(id, _)| *id == endpoint));
        name.map_or_else(|| format!("#{endpoint}"), |(_, name)| crate::bounded_text::escape(name))
    }
}

impl PoolHeader {
    pub(crate) fn set_endpoint_name(&mut self, id: u32, name: &str) {
        if let Some(known) = self.endpoints.iter_mut().find(|(known, _)| *known == id) {
            if known.1 != name {
                known.1 = name.into();
            }
            return;
        }
        if self.endpoints.len() >= MAX_ENDPOINT_NAMES {
            self.endpoints.remove(0);
        }
        self.endpoints.push((id, name.into()));
    }
}

/// Why a file can't be read as a recording.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordingError {
    /// It does not start with [`MAGIC`].
    #[error("not a pumicehead recording")]
    NotARecording,
    /// Its version is not supported.
    #[error("unsupported recording version {0}; this program reads versions up to {VERSION}")]
    UnsupportedVersion(u16),
    /// It is larger than [`MAX_RECORDING_BYTES`].
    #[error("recording has {0} bytes; at most {MAX_RECORDING_BYTES} bytes are read")]
    TooLarge(usize),
    /// Its header is damaged.
    #[error("header of the recording is damaged")]
    DamagedHeader,
}

/// Position of damage in a recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Offset of the first byte that could not be read.
    pub offset: usize,
    /// Size of the file in bytes.
    pub file_size: usize,
}

/// The readable part of a recording.
#[derive(Clone, Debug)]
pub struct Recording {
    /// Its header.
    pub header: RecordingHeader,
    /// Its ledger; `None` if that is damaged.
    pub ledger: Option<LossLedger>,
    /// Timelines of requests, the most important first.
    pub timelines: Vec<RequestTimeline>,
    /// Events in order of time.
    pub records: Vec<Record>,
    /// Where it is damaged, if it is.
    pub damage: Option<Damage>,
}

/// Returns the CRC-32 (IEEE 802.3) of a frame's kind and contents.
#[must_use]
pub fn frame_checksum(kind: u8, contents: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(contents);
    hasher.finalize()
}

fn write_frame(out: &mut Vec<u8>, kind: u8, contents: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(contents.len() as u32).to_le_bytes());
    out.extend_from_slice(&frame_checksum(kind, contents).to_le_bytes());
    out.extend_from_slice(contents);
}

/// Encodes a recording. Pages come newest first, so that damage at the end of the file loses the oldest events.
pub fn write<'a>(
    header: &RecordingHeader,
    ledger: &LossLedger,
    timelines: impl Iterator<Item = &'a RequestTimeline>,
    pages: impl Iterator<Item = &'a [u8]>,
) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    // Serializing strings and finite numbers never fails.
    write_frame(&mut out, FRAME_HEADER, &serde_json::to_vec(header).unwrap_or_default());
    let mut contents = Vec::new();
    ledger.write(&mut contents);
    write_frame(&mut out, FRAME_LEDGER, &contents);
    for timeline in timelines {
        contents.clear();
        put_varint(&mut contents, u64::from(timeline.pool.0));
        put_varint(&mut contents, u64::from(timeline.class));
        put_varint(&mut contents, timeline.ended_at);
        put_optional_varint(&mut contents, timeline.cause.map(|cause| u64::from(cause.code())));
        contents.push(u8::from(timeline.truncated));
        put_bytes(&mut contents, timeline.name.prefix.as_bytes());
        contents.extend_from_slice(&timeline.name.hash.to_le_bytes());
        put_bytes(&mut contents, &timeline.encoded_events);
        write_frame(&mut out, FRAME_TIMELINE, &contents);
    }
    for page in pages {
        write_frame(&mut out, FRAME_EVENTS, page);
    }
    write_frame(&mut out, FRAME_END, &[]);
    out
}

fn decode_timeline(contents: &[u8]) -> Option<RequestTimeline> {
    let mut from = Reader(contents);
    Some(RequestTimeline {
        pool: PoolId(from.varint_as()?),
        class: from.varint_as()?,
        ended_at: from.varint()?,
        cause: from
            .optional_varint()?
            .map(|code| u8::try_from(code).map_or(LossCause::Other, LossCause::from_code)),
        truncated: from.byte()? != 0,
        name: read_name(&mut from)?,
        encoded_events: from.bytes()?.into(),
    })
}

/// Reads the next frame; `None` if it is damaged.
fn read_frame<'a>(from: &mut Reader<'a>) -> Option<(u8, &'a [u8])> {
    let kind = from.byte()?;
    let length = u32::from_le_bytes(from.take(4)?.try_into().ok()?);
    let checksum = u32::from_le_bytes(from.take(4)?.try_into().ok()?);
    let contents = from.take(length as usize)?;
    (frame_checksum(kind, contents) == checksum).then_some((kind, contents))
}

impl Recording {
    /// Reads a recording.
    ///
    /// # Errors
    /// [`RecordingError`]. Damage behind the header is not an error but reported in [`Recording::damage`].
    pub fn read(bytes: &[u8]) -> Result<Self, RecordingError> {
        if bytes.len() > MAX_RECORDING_BYTES {
            return Err(RecordingError::TooLarge(bytes.len()));
        }
        let mut from = Reader(bytes);
        if from.take(MAGIC.len()) != Some(MAGIC) {
            return Err(RecordingError::NotARecording);
        }
        let version = from.take(2).map_or(0, |two| u16::from_le_bytes([two[0], two[1]]));
        if version == 0 || version > VERSION {
            return Err(RecordingError::UnsupportedVersion(version));
        }
        let Some((FRAME_HEADER, contents)) = read_frame(&mut from) else {
            return Err(RecordingError::DamagedHeader);
        };
        let header = serde_json::from_slice(contents).map_err(|_| RecordingError::DamagedHeader)?;
        let mut recording =
            Self { header, ledger: None, timelines: Vec::new(), records: Vec::new(), damage: None };
        loop {
            let offset = bytes.len() - from.0.len();
            match read_frame(&mut from) {
                Some((FRAME_END, _)) => break,
                Some((FRAME_LEDGER, contents)) => recording.ledger = LossLedger::read(&mut Reader(contents)),
                Some((FRAME_TIMELINE, contents)) => recording.timelines.extend(decode_timeline(contents)),
                Some((FRAME_EVENTS, contents)) => recording.records.extend(decode_records(contents).0),
                Some(_) => {}
                None => {
                    recording.damage = Some(Damage { offset, file_size: bytes.len() });
                    break;
                }
            }
        }
        recording.records.sort_by_key(|record| record.at);
        Ok(recording)
    }

    /// Returns the timelines of the requests with an id that clients sent, the newest first.
    #[must_use]
    pub fn timelines_of(&self, name: &str) -> Vec<&RequestTimeline> {
        let mut found: Vec<_> =
            self.timelines.iter().filter(|timeline| timeline.name.matches(name)).collect();
        found.sort_by_key(|timeline| std::cmp::Reverse(timeline.ended_at));
        found
    }
}
