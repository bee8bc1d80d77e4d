//! What is said of a member, and which of two sayings counts.

use crate::card::RecordVersion;

/// What a member is held for. Of two states under one stamp the later one in this order counts: worse is believed until the
/// member itself says something new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    #[default]
    Alive,
    /// Its kernel takes connections and nobody answers: its process stands still.
    Stalled,
    /// It answers nobody who asked, and may be dead.
    Suspect,
    /// It is dead.
    Dead,
    /// It said that it goes.
    Left,
}

impl MemberState {
    /// All of them, in their order.
    pub const ALL: [Self; 5] = [Self::Alive, Self::Stalled, Self::Suspect, Self::Dead, Self::Left];

    /// In a word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Stalled => "stalled",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// As it travels.
    #[must_use]
    pub fn code(self) -> u32 {
        self as u32
    }

    /// From what has travelled; `None` for one of a later version.
    #[must_use]
    pub fn from_code(number: u32) -> Option<Self> {
        Self::ALL.get(number as usize).copied()
    }

    /// Whether it takes part: it is asked for what it knows, and asked whether it is there.
    #[must_use]
    pub fn is_active(self) -> bool {
        self < Self::Dead
    }
}

/// A saying of a member and what is said of it. The greater one counts, in every process alike: whoever has heard the same
/// things holds the same, in whatever order and how often they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// Of the member's own saying.
    pub version: RecordVersion,
    /// What it is held for.
    pub state: MemberState,
}
