//! What other nodes have told of their attempts: a plain container and the form of the notes.
//!
//! A note says all that its sender has out, by server; the next one replaces it, so that lost, doubled and
//! late notes do no lasting harm. What to tell, to whom and what to make of it is said in `src/policy.rs`.

use rustc_hash::FxHashMap;

use crate::hash_ring::ring;
use crate::{EndpointId, Nanos};

const VERSION: u8 = 1;
/// Longest note that may be sent.
const MOST: usize = 256;
const HEADER: usize = 2;
const ENTRY: usize = 5;

#[derive(Debug)]
struct Note {
    seq: u8,
    at: Nanos,
    out: Vec<(EndpointId, u8)>,
}

/// The last note of each peer, and their sums by server.
#[derive(Debug, Default)]
pub struct Peers {
    notes: FxHashMap<u32, Note>,
    sums: FxHashMap<EndpointId, u32>,
}

/// The bytes of a note: servers without attempts are left out, and so are those past its size.
#[must_use]
pub fn write(seq: u8, out: impl IntoIterator<Item = (EndpointId, usize)>) -> Vec<u8> {
    let mut body = vec![VERSION, seq];
    for (server, count) in out.into_iter().filter(|&(_, count)| count > 0).take((MOST - HEADER) / ENTRY) {
        body.extend_from_slice(&server.0.to_le_bytes());
        body.push(u8::try_from(count).unwrap_or(u8::MAX));
    }
    body
}

/// The other nodes of a node's group, where nodes are spread over so many groups.
#[must_use]
pub fn group(me: u32, nodes: u32, groups: usize) -> Vec<u32> {
    let mine = ring(me, groups);
    (0..nodes).filter(|&node| node != me && ring(node, groups) == mine).collect()
}

impl Peers {
    /// Takes a note in; one of unknown form, or older than the last, is passed over.
    pub fn hear(&mut self, from: u32, body: &[u8], now: Nanos) {
        let [VERSION, seq, entries @ ..] = body else { return };
        if !entries.len().is_multiple_of(ENTRY) {
            return;
        }
        if self.notes.get(&from).is_some_and(|last| (seq.wrapping_sub(last.seq) as i8) <= 0) {
            return;
        }
        self.forget(from);
        let entry = |e: &[u8]| (EndpointId(u32::from_le_bytes([e[0], e[1], e[2], e[3]])), e[4]);
        let out: Vec<_> = entries.chunks_exact(ENTRY).map(entry).collect();
        for &(server, count) in &out {
            *self.sums.entry(server).or_default() += u32::from(count);
        }
        self.notes.insert(from, Note { seq: *seq, at: now, out });
    }

    fn forget(&mut self, from: u32) {
        let out = self.notes.get_mut(&from).map_or(Vec::new(), |note| std::mem::take(&mut note.out));
        for (server, count) in out {
            if let Some(sum) = self.sums.get_mut(&server) {
                *sum = sum.saturating_sub(u32::from(count));
                if *sum == 0 {
                    self.sums.remove(&server);
                }
            }
        }
    }

    /// No longer counts what was told before a time, and forgets who was not heard since another.
    pub fn expire(&mut self, told: Nanos, heard: Nanos) {
        let old: Vec<u32> = self.notes.iter().filter(|(_, n)| n.at < told).map(|(&from, _)| from).collect();
        for from in old {
            self.forget(from);
        }
        self.notes.retain(|_, note| note.at >= heard);
    }

    /// Attempts that peers have out at a server.
    #[must_use]
    pub fn out(&self, server: EndpointId) -> usize {
        self.sums.get(&server).map_or(0, |&sum| sum as usize)
    }

    /// How many peers have been heard lately.
    #[must_use]
    pub fn heard(&self) -> usize {
        self.notes.len()
    }
}
