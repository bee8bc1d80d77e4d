//! Typed ids, so that ids of endpoints, requests and zones can't be mixed up.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A request of a client; a client's retry is a new request. */ RequestId(u32));
id!(/** An endpoint (a backend server); stable across restarts of its process. */ EndpointId(u32));
id!(/** Index of a class in [`Settings::classes`](crate::Settings::classes). */ ClassId(u16));
id!(/** A tenant; stable across changes of the settings. */ TenantId(u32));
id!(/** Index of a zone in the deployment's list of zones. */ ZoneId(u16));
id!(/** A group of endpoints in a zone that share one record of idempotency keys. */ CellId(u16));
id!(/** Number of an attempt of a request, counted from 0 in order of start. */ AttemptNo(u8));
id!(/** Token of a timer, chosen by the module and passed back when the timer fires. */ TimerToken(u64));
