//! The least of a storm that still fails: faults are dropped, then weakened, while the failure still shows. Processes are not
//! deterministic, so each candidate is played several times by whoever asks; this decides what to try next. No I/O.

use crate::scenario::{Fault, Kind, Scenario};

/// Faults are not made shorter than this, in seconds: below it they come and go within one look.
const SHORTEST_S: f64 = 0.5;

/// The way from a storm to a smaller one.
#[derive(Clone, Debug)]
pub struct Shrink {
    best: Scenario,
    /// Candidates of the best that are still to be tried, the boldest last.
    todo: Vec<Scenario>,
    tried: usize,
}

impl Shrink {
    /// Begins with a storm that fails.
    #[must_use]
    pub fn of(failing: Scenario) -> Self {
        let todo = candidates(&failing);
        Self { best: failing, todo, tried: 0 }
    }

    /// What is to be played next; `None`: nothing smaller is left.
    pub fn candidate(&mut self) -> Option<Scenario> {
        let next = self.todo.last().cloned();
        self.tried += usize::from(next.is_some());
        next
    }

    /// Whether what [`Shrink::candidate`] gave last still fails.
    pub fn tell(&mut self, fails: bool) {
        let Some(tried) = self.todo.pop() else { return };
        if fails {
            self.todo = candidates(&tried);
            self.best = tried;
        }
    }

    /// The smallest that is known to fail.
    #[must_use]
    pub fn best(&self) -> &Scenario {
        &self.best
    }

    /// Candidates so far.
    #[must_use]
    pub fn tried(&self) -> usize {
        self.tried
    }
}

fn candidates(of: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    for number in 0..of.fault.len() {
        for weaker in weaker(&of.fault[number]) {
            let mut one = of.clone();
            one.fault[number] = weaker;
            all.push(one);
        }
    }
    // Tried first, from the end: without one of the faults.
    if of.fault.len() > 1 {
        all.extend((0..of.fault.len()).map(|number| {
            let mut one = of.clone();
            one.fault.remove(number);
            one
        }));
    }
    all.retain(|one| one.check().is_ok() && one != of);
    all
}

/// The same fault with less of it, the least changed first.
fn weaker(fault: &Fault) -> Vec<Fault> {
    let mut all = Vec::new();
    if fault.for_s / 2.0 >= SHORTEST_S {
        all.push(Fault { for_s: fault.for_s / 2.0, ..fault.clone() });
    }
    let mut kind = fault.kind.clone();
    let halved = match &mut kind {
        Kind::Kill { nodes, .. }
        | Kind::Full { nodes }
        | Kind::Record { nodes }
        | Kind::Roll { nodes }
        | Kind::Loop { nodes, .. }
        | Kind::Stall { nodes }
        | Kind::Slow { nodes, .. } => halve(nodes),
        Kind::ServerStall { servers }
        | Kind::ServerKill { servers }
        | Kind::ServerSlow { servers, .. }
        | Kind::ServerLie { servers, .. }
        | Kind::Drain { servers } => halve(servers),
        Kind::Link { there, back, .. } => {
            let before = (there.clone(), back.clone());
            for way in [&mut *there, &mut *back] {
                way.delay_ms = if way.delay_ms < 1.0 { 0.0 } else { way.delay_ms / 2.0 };
                way.loss = if way.loss < 0.01 { 0.0 } else { way.loss / 2.0 };
            }
            (&before.0, &before.1) != (&*there, &*back)
        }
        Kind::Partition { groups } => groups.len() > 2 && groups.pop().is_some(),
        Kind::Burst { factor } => {
            *factor = 1.0 + (*factor - 1.0) / 2.0;
            *factor > 1.1
        }
    };
    if halved {
        all.push(Fault { kind, ..fault.clone() });
    }
    all
}

fn halve(of: &mut Vec<usize>) -> bool {
    let most = of.len();
    of.truncate(most.div_ceil(2));
    of.len() < most
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards that shrinking ends, never grows, and finds the one fault that a failure needs, whatever else was drawn.
    #[test]
    fn what_matters_is_left() {
        for seed in 0..200 {
            let storm = Scenario::drawn(seed, 6, 5);
            let needs = |one: &Scenario| {
                one.fault.iter().any(|fault| fault.kind == storm.fault[0].kind && fault.for_s >= 1.0)
            };
            let mut shrink = Shrink::of(storm.clone());
            while let Some(next) = shrink.candidate() {
                assert!(next.check().is_ok(), "seed {seed}");
                shrink.tell(needs(&next));
                assert!(shrink.tried() < 500, "seed {seed} does not end");
            }
            let best = shrink.best();
            assert!(needs(best) && best.fault.len() == 1, "seed {seed}: {best:?}");
            assert!(best.fault[0].for_s < 2.0, "seed {seed}: {best:?}");
        }
    }
}
