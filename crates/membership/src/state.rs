//! The states of a member and the precedence between claims about it.

use crate::record::RecordVersion;

/// The state of a member. Of two claims about the same record version, the state that is later in this order wins: the worse
/// state stays until the member refutes it with a new incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers probes.
    #[default]
    Alive,
    /// The member's kernel accepts connections, but its process does not answer.
    Stalled,
    /// The member answers neither direct nor indirect probes, or refuses connections, and may be dead.
    Suspect,
    /// The suspicion of the member expired without a refutation.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl MemberState {
    /// All states in ascending order.
    pub const ALL: [Self; 5] = [Self::Alive, Self::Stalled, Self::Suspect, Self::Dead, Self::Left];

    /// The name used in reports.
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

    /// The code used on the wire and in recordings.
    #[must_use]
    pub fn code(self) -> u32 {
        self as u32
    }

    /// The state with this code, or `None` if the code is unknown to this version.
    #[must_use]
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.get(code as usize).copied()
    }

    /// Whether the member participates in the fleet, that is, it is neither dead nor left. Active members are probed.
    #[must_use]
    pub fn is_active(self) -> bool {
        self < Self::Dead
    }
}

/// Decides between claims about a member. The greater one wins in every process, so members that received the same claims
/// agree, whatever the order and number of deliveries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// Version of the member's record.
    pub version: RecordVersion,
    /// The claimed state.
    pub state: MemberState,
}
