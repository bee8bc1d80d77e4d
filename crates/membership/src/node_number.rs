//! Node numbers: a small unique number for each member, starting at 1.

use crate::record::MemberId;
use crate::table::MemberTable;

/// Returns the number to take for a member that has none, or whose number another member keeps. All members that need a number
/// are ranked by id, and each takes the free number at its rank. Members with equal tables thus choose different numbers, so
/// that many simultaneous joins converge within a few rounds.
#[must_use]
pub fn free_node_number(table: &MemberTable, own_id: MemberId) -> u32 {
    let active = table.iter().filter(|entry| entry.state.is_active());
    let mut claims: Vec<_> = active.map(|entry| (entry.record().node_number, entry.id())).collect();
    claims.sort_unstable();
    // If several members have the same number, the one with the lowest id keeps it. The others, and members without a number,
    // need a new one.
    let mut kept = Vec::new();
    let mut rank = 0;
    for (number, id) in claims {
        if number != 0 && kept.last() != Some(&number) && id != own_id {
            kept.push(number);
        } else if id < own_id {
            rank += 1;
        }
    }
    let mut kept = kept.into_iter().peekable();
    let is_free = |number: &u32| kept.next_if_eq(number).is_none();
    (1..).filter(is_free).nth(rank).unwrap_or(1)
}
