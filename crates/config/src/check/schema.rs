//! The settings of each kind of block.

/// A setting of a kind of block.
pub(super) struct Setting {
    /// Its keyword.
    pub keyword: &'static str,
    /// Whether it may occur more than once.
    pub repeatable: bool,
    /// Whether it is a block.
    pub is_block: bool,
}

/// A setting that may occur once.
const fn single(keyword: &'static str) -> Setting {
    Setting { keyword, repeatable: false, is_block: false }
}

/// A setting that may occur more than once.
const fn repeatable(keyword: &'static str) -> Setting {
    Setting { keyword, repeatable: true, is_block: false }
}

/// A block that may occur more than once.
const fn repeatable_block(keyword: &'static str) -> Setting {
    Setting { keyword, repeatable: true, is_block: true }
}

const NODE: [Setting; 5] =
    [single("name"), single("zones"), single("zone"), single("nodes"), single("number")];
const LISTENER: [Setting; 2] = [single("address"), single("protocol")];
const POOL: [Setting; 12] = [
    repeatable_block("server"),
    single("discovery"),
    single("protocol"),
    single("script"),
    single("root"),
    single("warm-up"),
    single("tips-over"),
    single("connect-timeout"),
    single("idle"),
    single("attempts"),
    single("hedge"),
    single("crossing-price"),
];
const SERVER: [Setting; 4] = [single("address"), single("zone"), single("weight"), single("cell")];
const CLASS: [Setting; 6] = [
    single("aim"),
    single("deadline"),
    single("worth"),
    single("late-worth"),
    single("repeats"),
    single("order"),
];
const TENANT: [Setting; 2] = [single("share"), single("rate")];
const ROUTE: [Setting; 8] = [
    single("host"),
    single("path"),
    single("method"),
    repeatable("header"),
    single("class"),
    single("pool"),
    single("tenant"),
    single("key"),
];
const LIMITS: [Setting; 8] = [
    single("memory"),
    single("descriptors"),
    single("held"),
    single("request-body"),
    single("answer-body"),
    single("request-time"),
    single("idle"),
    single("retry-after"),
];
const OBSERVE: [Setting; 5] =
    [single("calls"), single("log"), single("log-form"), single("recorder"), single("recordings")];
const FLEET: [Setting; 5] =
    [single("name"), single("address"), single("told-as"), single("seeds"), repeatable("reach")];

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
