//! The states of a member and the precedence between claims about it.

use crate::record::RecordVersion;

/// What a member is held to be. Of two claims about one record version the state that is later in this order wins: the worse
/// claim holds until the member refutes it with a new incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers probes.
    #[default]
    Alive,
    /// Its kernel accepts connections, but its process does not answer.
    Stalled,
    /// It answers no probe, direct or indirect, and may be dead.
    Suspect,
    /// Its suspicion expired without a refutation.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// All states, in their order.
    pub const ALL: [Self; 5] = [Self::Alive, Self::Stalled, Self::Suspect, Self::Dead, Self::Left];

    /// The name in reports.
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

    /// The code on the wire and in recordings.
    #[must_use]
    pub fn code(self) -> u32 {
        self as u32
    }

    /// The state of a code; `None` for one of a later version.
    #[must_use]
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.get(code as usize).copied()
    }

    /// Whether the member takes part: it is probed and asked for its table.
    #[must_use]
    pub fn is_active(self) -> bool {
        self < Self::Dead
    }
}

/// Decides between claims about a member: the greater one wins in every process, so members that received the same claims agree,
/// whatever their order and number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// Version of the member's record.
    pub version: RecordVersion,
    /// The claimed state.
    pub state: MemberState,
}
