//! Node numbers: a small distinct number for each member, from 1.

use crate::record::MemberId;
use crate::table::MemberTable;

/// The number for a member that has none, or one that another member keeps: the free number at the member's own rank, by id,
/// among all members in that position. Members with equal tables choose different numbers, so many that join at once settle
/// within some rounds.
#[must_use]
pub fn free_node_number(table: &MemberTable, own_id: MemberId) -> u32 {
    let active = table.iter().filter(|entry| entry.state.is_active());
    let mut claims: Vec<_> = active.map(|entry| (entry.record().node_number, entry.id())).collect();
    claims.sort_unstable();
    // Of the members with one number the lowest id keeps it; the others, and those without a number, take another.
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
