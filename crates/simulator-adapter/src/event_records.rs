//! Decoding of the records that depend only on their own fields and an instance's index bounds.

use pumicehead_policy::{
    AttemptEnded, AttemptNo, CellId, ClassId, EndpointId, EndpointInfo, EndpointState, Event, NewRequest,
    RequestId, TenantId, ZoneId,
};

use crate::WireError;
use crate::field_reader::FieldReader;

/// Length of an entry of an endpoint list, in bytes.
pub(crate) const ENDPOINT_BYTES: usize = 23;
/// Flag of a request that has a cost hint.
const FLAG_HAS_COST_HINT: u16 = 1;

/// Exclusive upper bounds of indices according to an instance's settings; `tenants` is 0 if tenants are not configured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexBounds {
    pub(crate) classes: usize,
    pub(crate) tenants: usize,
    pub(crate) zones: u16,
}

/// Decodes one entry of an endpoint list.
pub(crate) fn endpoint(mut entry: FieldReader<'_>) -> Result<EndpointInfo, WireError> {
    let id = EndpointId(entry.u32("backend")?);
    let zone = ZoneId(entry.u16("site")?);
    entry.u16("machine")?;
    let cell = CellId(entry.u16("cohort")?);
    let state = match entry.u8("condition")? {
        0 => EndpointState::Ready,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        other => return Err(entry.invalid_value("condition", other)),
    };
    let weight = f32::from_bits(entry.u32("heft")?);
    let started_at = entry.u64("started_at_ns")?;
    Ok(EndpointInfo { id, zone, cell, state, weight, started_at })
}

pub(crate) fn new_request(mut fields: FieldReader<'_>, bounds: IndexBounds) -> Result<Event, WireError> {
    let id = RequestId(fields.u32("corr")?);
    let cost_hint = fields.u64("hint_ns")?;
    let tenant = fields.u32("account")?;
    let key = fields.u64("partition_key")?;
    let deadline = fields.u64("not_after_ns")?;
    let class = fields.u16("qos")?;
    let flags = fields.u16("bits")?;
    if usize::from(class) >= bounds.classes {
        return Err(fields.invalid_value("qos", class));
    }
    if bounds.tenants > 0 && tenant as usize >= bounds.tenants {
        return Err(fields.invalid_value("account", tenant));
    }
    Ok(Event::Request(NewRequest {
        id,
        class: ClassId(class),
        tenant: (bounds.tenants > 0).then_some(TenantId(tenant)),
        cost_hint: (flags & FLAG_HAS_COST_HINT != 0 && cost_hint > 0).then_some(cost_hint),
        key: (key != 0).then_some(key),
        deadline,
    }))
}

pub(crate) fn response_started(mut fields: FieldReader<'_>) -> Result<Event, WireError> {
    let id = RequestId(fields.u32("corr")?);
    fields.u32("backend")?;
    fields.u64("took_ns")?;
    Ok(Event::ResponseStarted { id, attempt: AttemptNo(fields.u8("leg")?) })
}

pub(crate) fn attempt_ended(mut fields: FieldReader<'_>) -> Result<Event, WireError> {
    let id = RequestId(fields.u32("corr")?);
    let final_answer = fields.u8("complete")? != 0;
    let endpoint = EndpointId(fields.u32("backend")?);
    let outcome = fields.outcome()?;
    let attempt = AttemptNo(fields.u8("leg")?);
    let duration = fields.u64("took_ns")?;
    fields.skip_telemetry()?;
    Ok(Event::AttemptEnded(AttemptEnded { id, attempt, endpoint, outcome, duration, final_answer }))
}

pub(crate) fn load_report(mut fields: FieldReader<'_>) -> Result<Event, WireError> {
    let from = u32::from(fields.u16("neighbour")?);
    let len = fields.u16("body")?;
    Ok(Event::LoadReport { from, body: fields.take("body", usize::from(len))?.to_vec() })
}

/// Validates the answer to a probe. The decision module doesn't probe, so the content is dropped.
pub(crate) fn check_probe_answer(mut fields: FieldReader<'_>) -> Result<(), WireError> {
    fields.u32("backend")?;
    fields.outcome()?;
    fields.u64("took_ns")?;
    fields.skip_telemetry()
}
