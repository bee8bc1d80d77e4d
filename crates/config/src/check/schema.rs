//! Which settings each kind of block has.

/// A setting of a kind of block.
pub(super) struct Setting {
    /// Its keyword.
    pub keyword: &'static str,
    /// May be written more than once.
    pub repeatable: bool,
    /// Is a block itself.
    pub is_block: bool,
}

/// A setting that may be written once.
const fn one(keyword: &'static str) -> Setting {
    Setting { keyword, repeatable: false, is_block: false }
}

/// A setting that may be written more than once.
const fn many(keyword: &'static str) -> Setting {
    Setting { keyword, repeatable: true, is_block: false }
}

/// A block that may be written more than once.
const fn blocks(keyword: &'static str) -> Setting {
    Setting { keyword, repeatable: true, is_block: true }
}

const NODE: [Setting; 5] = [one("name"), one("zones"), one("zone"), one("nodes"), one("number")];
const LISTENER: [Setting; 2] = [one("address"), one("protocol")];
const POOL: [Setting; 12] = [
    blocks("server"),
    one("discovery"),
    one("protocol"),
    one("script"),
    one("root"),
    one("warm-up"),
    one("tips-over"),
    one("connect-timeout"),
    one("idle"),
    one("attempts"),
    one("hedge"),
    one("crossing-price"),
];
const SERVER: [Setting; 4] = [one("address"), one("zone"), one("weight"), one("cell")];
const CLASS: [Setting; 6] =
    [one("aim"), one("deadline"), one("worth"), one("late-worth"), one("repeats"), one("order")];
const TENANT: [Setting; 2] = [one("share"), one("rate")];
const ROUTE: [Setting; 8] = [
    one("host"),
    one("path"),
    one("method"),
    many("header"),
    one("class"),
    one("pool"),
    one("tenant"),
    one("key"),
];
const LIMITS: [Setting; 8] = [
    one("memory"),
    one("descriptors"),
    one("held"),
    one("request-body"),
    one("answer-body"),
    one("request-time"),
    one("idle"),
    one("retry-after"),
];
const OBSERVE: [Setting; 5] = [one("calls"), one("log"), one("log-form"), one("recorder"), one("recordings")];
const FLEET: [Setting; 5] = [one("name"), one("address"), one("told-as"), one("seeds"), many("reach")];

/// The settings of a kind of block, in the order in which messages list them.
pub(super) fn settings_of(kind: &str) -> &'static [Setting] {
    match kind {
        "node" => &NODE,
        "listener" => &LISTENER,
        "pool" => &POOL,
        "server" => &SERVER,
        "class" => &CLASS,
        "tenant" => &TENANT,
        "route" => &ROUTE,
        "limits" => &LIMITS,
        "observe" => &OBSERVE,
        "fleet" => &FLEET,
        _ => &[],
    }
}
