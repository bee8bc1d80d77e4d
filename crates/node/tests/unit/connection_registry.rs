use super::*;

/// A server with idle connections that counts how often these are looked at.
#[derive(Default)]
struct Counting {
    registered: Cell<bool>,
    sweeps: Cell<u32>,
}

impl IdleConnections for Counting {
    fn registered(&self) -> &Cell<bool> {
        &self.registered
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        None
    }

    fn close_oldest(&self) {}

    fn sweep(&self, _: Instant) -> bool {
        self.sweeps.set(self.sweeps.get() + 1);
        true
    }
}

/// Guards the loop's turn where there are many pools: each asks for a sweep a second, and they share one.
#[tokio::test(start_paused = true)]
async fn pools_share_a_sweep() {
    let connections = ConnectionRegistry::new(8);
    let server = Rc::new(Counting::default());
    connections.register(&server);
    for second in 1..=3 {
        for _pool in 0..140 {
            connections.sweep();
        }
        assert_eq!(server.sweeps.get(), second);
        tokio::time::advance(Duration::from_secs(1)).await;
    }
}
