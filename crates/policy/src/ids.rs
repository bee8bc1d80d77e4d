//! Typed ids, so that an endpoint can't be taken for a request or a zone.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A client's request; a client that retries makes a new one. */ RequestId(u32));
id!(/** An endpoint (a backend server), stable across restarts of its process. */ EndpointId(u32));
id!(/** Position of a class in [`Settings::classes`](crate::Settings::classes). */ ClassId(u16));
id!(/** A tenant; the same one before and after a change of settings. */ TenantId(u32));
id!(/** Position of a zone among those of the settings. */ ZoneId(u16));
id!(/** A group of endpoints within a zone that share their record of idempotency keys. */ CellId(u16));
id!(/** Number of an attempt of a request, from 0 in the order in which they start. */ AttemptNo(u8));
id!(/** Chosen by the module when it arms a timer and handed back when it fires. */ TimerToken(u64));
