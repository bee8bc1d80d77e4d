use super::*;

/// An endpoint that counts the sweeps of its idle connections.
#[derive(Default)]
struct CountingEndpoint {
    registered: Cell<bool>,
    sweeps: Cell<u32>,
}

impl IdleConnections for CountingEndpoint {
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

/// Each of many pools requests a sweep every second, and all these requests share a single sweep.
#[tokio::test(start_paused = true)]
async fn sweep_requests_of_many_pools_share_one_sweep() {
    let connections = ConnectionRegistry::new(8);
    let endpoint = Rc::new(CountingEndpoint::default());
    connections.register(&endpoint);
    for second in 1..=3 {
        for _pool in 0..140 {
            connections.sweep();
        }
        assert_eq!(endpoint.sweeps.get(), second);
        tokio::time::advance(Duration::from_secs(1)).await;
    }
}
