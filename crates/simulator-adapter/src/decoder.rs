//! Decodes the records of a frame into the events of the decision module's instances.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use pumicehead_policy::deployment_settings::DeploymentSettings;
use pumicehead_policy::{EndpointInfo, EndpointUpdate, Event, Nanos, RequestId, Settings, TimerToken};

use crate::event_records::{
    ENDPOINT_BYTES, IndexBounds, attempt_ended, check_probe_answer, endpoint, load_report, new_request,
    response_started,
};
use crate::field_reader::FieldReader;
use crate::frame::{split_frame, take_record};
use crate::record_kind::RecordKind;
use crate::{InstanceId, WireError};

/// Maximum number of stored endpoint lists.
const MAX_ENDPOINT_LISTS: u32 = 16;

/// The decoded records of one frame.
#[derive(Debug, Default)]
pub struct Batch {
    /// Time of the simulator's clock.
    pub now: Nanos,
    /// Sequence number of the batch, which the reply repeats.
    pub sequence_number: u32,
    /// Inputs of the instances, in order.
    pub inputs: Vec<(InstanceId, InstanceInput)>,
}

/// Input of one instance, decoded from a record.
#[derive(Debug)]
pub enum InstanceInput {
    /// The instance starts.
    Begin {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is killed.
    Killed,
    /// An event of the decision module.
    Event(Event),
}

/// Decodes frames. Stores the numbered endpoint lists and the index bounds of each running instance.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    endpoint_lists: FxHashMap<u32, Arc<[EndpointInfo]>>,
    bounds: FxHashMap<InstanceId, IndexBounds>,
}

impl FrameDecoder {
    /// Decodes a complete frame as read by [`read_frame`](crate::read_frame).
    ///
    /// # Errors
    /// The first error found. No part of the batch may be applied then.
    pub fn decode(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let (header, mut records) = split_frame(frame)?;
        let mut batch =
            Batch { now: header.now, sequence_number: header.sequence_number, inputs: Vec::new() };
        for record in 0..header.record_count {
            let raw = take_record(&mut records, record)?;
            let kind =
                RecordKind::from_code(raw.code).ok_or(WireError::UnknownCode { record, code: raw.code })?;
            batch.inputs.extend(self.record(kind, FieldReader::new(record, kind, raw.body))?);
        }
        if records.is_empty() { Ok(batch) } else { Err(WireError::TrailingBytes(records.len())) }
    }

    /// Decodes one record. Returns `None` if it is not an input of a running instance.
    fn record(
        &mut self,
        kind: RecordKind,
        mut fields: FieldReader<'_>,
    ) -> Result<Option<(InstanceId, InstanceInput)>, WireError> {
        if kind == RecordKind::EndpointList {
            return self.endpoint_list(fields).map(|()| None);
        }
        let instance = fields.u32("i")?;
        if kind == RecordKind::Begin {
            return self.begin(instance, fields).map(|input| Some((instance, input)));
        }
        // The simulator may still send events of an instance that it has killed.
        let Some(&bounds) = self.bounds.get(&instance) else { return Ok(None) };
        if kind == RecordKind::Killed {
            self.bounds.remove(&instance);
            return Ok(Some((instance, InstanceInput::Killed)));
        }
        let event = self.event(kind, fields, bounds)?;
        Ok(event.map(|event| (instance, InstanceInput::Event(event))))
    }

    /// Decodes an event of a running instance. Returns `None` if the decision module does not use it.
    fn event(
        &self,
        kind: RecordKind,
        mut fields: FieldReader<'_>,
        bounds: IndexBounds,
    ) -> Result<Option<Event>, WireError> {
        let event = match kind {
            RecordKind::EndpointsUpdated => self.endpoints_updated(fields, bounds)?,
            RecordKind::NewRequest => new_request(fields, bounds)?,
            RecordKind::ResponseStarted => response_started(fields)?,
            RecordKind::AttemptEnded => attempt_ended(fields)?,
            RecordKind::ClientDisconnected => Event::ClientDisconnected(RequestId(fields.u32("corr")?)),
            RecordKind::TimerFired => Event::TimerFired(TimerToken(fields.u64("token")?)),
            RecordKind::LoadReport => load_report(fields)?,
            RecordKind::ProbeAnswered => return check_probe_answer(fields).map(|()| None),
            // Not events; `record` has handled them.
            RecordKind::Begin | RecordKind::Killed | RecordKind::EndpointList => return Ok(None),
        };
        Ok(Some(event))
    }

    /// Decodes an instance's seed and settings, and stores the index bounds that result from the settings.
    fn begin(
        &mut self,
        instance: InstanceId,
        mut fields: FieldReader<'_>,
    ) -> Result<InstanceInput, WireError> {
        let seed = fields.u64("entropy")?;
        let settings_len = fields.u32("boot_info")? as usize;
        let text = fields.take("boot_info", settings_len)?;
        let record = fields.record();
        let text = std::str::from_utf8(text).map_err(|_| WireError::SettingsText { record })?;
        let deployment: DeploymentSettings =
            serde_json::from_str(text).map_err(|source| WireError::SettingsJson { record, source })?;
        let settings = deployment.settings().map_err(|source| WireError::SettingsValue { record, source })?;
        let bounds = IndexBounds {
            classes: settings.classes.len(),
            tenants: settings.tenants.len(),
            zones: settings.zone_count.max(1),
        };
        self.bounds.insert(instance, bounds);
        Ok(InstanceInput::Begin { seed, settings: Box::new(settings) })
    }

    /// Stores a numbered endpoint list, which later updates refer to.
    fn endpoint_list(&mut self, mut fields: FieldReader<'_>) -> Result<(), WireError> {
        let table = fields.u32("table")?;
        if table >= MAX_ENDPOINT_LISTS {
            return Err(fields.invalid_value("table", table));
        }
        let count = fields.u32("records")? as usize;
        let bytes = fields.take("records", count.saturating_mul(ENDPOINT_BYTES))?;
        let entries = bytes.chunks_exact(ENDPOINT_BYTES).map(|entry| endpoint(fields.part(entry)));
        let list = entries.collect::<Result<Arc<[EndpointInfo]>, WireError>>()?;
        self.endpoint_lists.insert(table, list);
        Ok(())
    }

    fn endpoints_updated(
        &self,
        mut fields: FieldReader<'_>,
        bounds: IndexBounds,
    ) -> Result<Event, WireError> {
        let table = fields.u32("table")?;
        fields.u32("epoch")?;
        let mode = fields.u8("mode")?;
        if mode == 3 {
            return Ok(Event::EndpointsUpdated(EndpointUpdate::WatchFailed));
        }
        let stored = self.endpoint_lists.get(&table);
        let list = stored.ok_or_else(|| fields.invalid_value("table", table))?.clone();
        if let Some(endpoint) = list.iter().find(|endpoint| endpoint.zone.0 >= bounds.zones) {
            return Err(fields.invalid_value("site", endpoint.zone.0));
        }
        Ok(Event::EndpointsUpdated(match mode {
            0 => EndpointUpdate::Delta(list),
            1 => EndpointUpdate::Snapshot(list),
            2 => EndpointUpdate::Restored(list),
            other => return Err(fields.invalid_value("mode", other)),
        }))
    }
}
