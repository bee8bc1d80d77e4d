//! Storms drawn from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::link::{Conditions, Door};
use crate::scenario::{
    Fault, Files, Fleet, Kind, Lie, Load, Scenario, Side, cold, patience_ms, places, submits, takes_ms,
};

const FILES: [Files; 4] = [Files::Kept, Files::Gone, Files::Cut, Files::Flipped];
const LIES: [Lie; 3] = [Lie::Denies, Lie::Swaps, Lie::Garbles];

impl Scenario {
    /// A storm drawn from a seed: two to five faults that overlap, over a fleet of this size.
    #[must_use]
    pub fn drawn(seed: u64, nodes: usize, servers: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=5);
        let fault = (0..count).map(|_| draw(&mut rng, nodes, servers)).collect();
        Self {
            name: format!("drawn-{seed}"),
            seed,
            fleet: Fleet {
                nodes,
                servers,
                places: places(),
                takes_ms: takes_ms(),
                cold: cold(),
                links: Conditions::default(),
                members: false,
            },
            load: Load { rate: 30.0, submits: submits(), patience_ms: patience_ms() },
            calm_s: [4.0, 8.0],
            fault,
        }
    }
}

/// Some of `count`, at least one and at most half.
fn some(rng: &mut StdRng, count: usize) -> Vec<usize> {
    let many = rng.random_range(1..=(count / 2).max(1));
    let mut all: Vec<_> = (0..count).collect();
    for place in 0..many {
        let other = rng.random_range(place..count);
        all.swap(place, other);
    }
    all.truncate(many);
    all.sort_unstable();
    all
}

fn draw(rng: &mut StdRng, nodes: usize, servers: usize) -> Fault {
    let of = some(rng, nodes);
    let at = some(rng, servers);
    let bad = Conditions {
        delay_ms: rng.random_range(0.0..200.0_f64).round(),
        loss: (rng.random_range(0.0..0.3_f64) * 100.0).round() / 100.0,
        cut: rng.random::<f64>() < 0.4,
        ..Conditions::default()
    };
    let door = [Door::Open, Door::Refuse, Door::Silent][rng.random_range(0..3)];
    let back = if rng.random::<bool>() { bad.clone() } else { Conditions::default() };
    let kind = match rng.random_range(0..13) {
        0 => Kind::Kill { nodes: of, files: FILES[rng.random_range(0..FILES.len())] },
        1 => Kind::Roll { nodes: of },
        2 => Kind::Loop { nodes: of, every_s: 1.0 },
        3 => Kind::Stall { nodes: of },
        4 => Kind::Slow { nodes: of, share: 0.6 },
        5 => Kind::Link {
            from: Side::Nodes(of),
            to: Side::Servers(at),
            door,
            there: bad,
            back,
            forgets: rng.random(),
        },
        6 => Kind::Link {
            from: Side::Nodes(of),
            to: Side::Discovery,
            door,
            there: bad,
            back,
            forgets: rng.random(),
        },
        7 => Kind::ServerStall { servers: at },
        8 => Kind::ServerKill { servers: at },
        9 => Kind::Full { nodes: of },
        10 => Kind::ServerSlow { servers: at, factor: 5.0 },
        11 => Kind::ServerLie { servers: at, lie: LIES[rng.random_range(0..LIES.len())] },
        _ => Kind::Drain { servers: at },
    };
    let second = |rng: &mut StdRng, most: f64| (rng.random_range(0.0..most) * 10.0).round() / 10.0;
    Fault { at_s: second(rng, 6.0), for_s: 1.0 + second(rng, 5.0), kind }
}
