//! The block `observe`: what a node tells of itself.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Check;
use super::reader::{Reader, address, within};
use crate::model::{Observe, Places};
use crate::units::{self, Fault};

/// Levels of a log, the fewest lines first.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Longest text of levels.
const LONGEST: usize = 300;

impl Observe {
    pub(super) fn unwritten() -> Self {
        Self {
            calls: None,
            log: "info".into(),
            json: false,
            recorder: 1 << 20,
            recordings: PathBuf::new(),
            at: Places::default(),
        }
    }
}

/// Levels with commas between, each of all or of a room.
fn levels(text: &str) -> Result<String, Fault> {
    let sound = |part: &str| {
        let (room, level) = part.split_once('=').unwrap_or(("", part));
        LEVELS.contains(&level)
            && room.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_-".contains(&byte))
    };
    if text.len() <= LONGEST && text.split(',').all(sound) {
        return Ok(text.to_owned());
    }
    Err(Fault {
        code: "bad-levels",
        message: format!("`{text}` names no levels of a log"),
        help: Some("write `info`, or a room's own as in `warn,discovery=debug`".into()),
    })
}

impl Check<'_> {
    pub(super) fn observe(&mut self, block: &Reader<'_>) -> Observe {
        let unwritten = Observe::unwritten();
        let calls = |text: &str| text.parse::<SocketAddr>().or_else(|_| address(text)).map(Some);
        let json = match self.value(block, "log-form") {
            Ok(Some(word)) => {
                self.choice(&word, "is neither `text` nor `json`", &[("text", false), ("json", true)])
            }
            _ => None,
        };
        let folder = |text: &str| {
            let message = format!("`{text}` is no folder: write its whole path");
            let sound = text.starts_with('/') && !text.contains('\0');
            sound.then(|| text.into()).ok_or(Fault { code: "bad-path", message, help: None })
        };
        Observe {
            calls: self.parsed(block, "calls", None, calls).flatten(),
            log: self.parsed(block, "log", unwritten.log.clone(), levels).unwrap_or(unwritten.log),
            json: json.unwrap_or(false),
            recorder: self
                .parsed(block, "recorder", unwritten.recorder, |text| match text {
                    "off" => Ok(0),
                    text => within(units::size, "64KiB", "1GiB")(text),
                })
                .unwrap_or(unwritten.recorder),
            recordings: self.parsed(block, "recordings", PathBuf::new(), folder).unwrap_or_default(),
            at: block.at.clone(),
        }
    }
}
