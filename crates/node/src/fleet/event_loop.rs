//! Event loop of the fleet member. Passes received datagrams and timers to the state machine, and the outputs of the state
//! machine to sockets, log and recorder.

use std::rc::Rc;

use pumicehead_flight_recorder::bounded_text::BoundedName;
use pumicehead_flight_recorder::event::Event as RecorderEvent;
use pumicehead_membership::settings::MAX_DATAGRAM_BYTES;
use pumicehead_membership::{Event, MS, MemberState, Nanos, Output, SECOND};
use pumicehead_policy::NodeShare;
use tokio::task;
use tokio::time::sleep_until;
use tracing::{debug, info, warn};

use super::{Fleet, streams};

/// Interval at which this node's share is updated; the number of nodes changes slowly.
const NODE_SHARE_INTERVAL: Nanos = SECOND;

impl Fleet {
    /// Runs the member until the process exits.
    pub(super) async fn run(self: Rc<Self>) {
        // One byte more than the maximum, so that a datagram that is too long can be detected.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut node_share_at = self.clock.now();
        loop {
            self.process_outputs();
            let now = self.clock.now();
            if now >= node_share_at {
                node_share_at = now + NODE_SHARE_INTERVAL;
                self.update_node_share(now);
            }
            let next = self.member.borrow().next_timer().min(node_share_at);
            tokio::select! {
                received = self.datagrams.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        self.member.borrow_mut().on_datagram(self.clock.now(), from, &buffer[..length]);
                    }
                    // Reports that an earlier datagram was refused, which its missing ack shows as well.
                    Err(error) => debug!(target: "fleet", %error, "receiving a datagram failed"),
                },
                () = sleep_until(self.clock.instant_at(next)) => self.run_timers(),
                () = self.changed.notified() => {}
            }
        }
    }

    fn run_timers(&self) {
        let now = self.clock.now();
        let mut member = self.member.borrow_mut();
        if member.next_timer() <= now {
            member.on_timer(now);
        }
    }

    fn update_node_share(&self, now: Nanos) {
        let mut member = self.member.borrow_mut();
        let number = member.record().node_number;
        if !member.is_joined() || number == 0 || member.is_stopped() {
            return;
        }
        let share = Some(NodeShare { node_index: number - 1, node_count: member.node_count(now) });
        self.node_share.send_if_modified(|known| std::mem::replace(known, share) != share);
    }

    fn process_outputs(self: &Rc<Self>) {
        for output in self.take_outputs() {
            match output {
                Output::Datagram { to, bytes } => {
                    // If the socket buffer is full, the datagram is lost, as it could be on the network.
                    if let Err(error) = self.datagrams.try_send_to(&bytes, to) {
                        debug!(target: "fleet", %to, %error, "sending a datagram failed");
                    }
                }
                Output::StreamProbe { seq, to, frame } => {
                    drop(task::spawn_local(streams::probe(self.clone(), seq, to, frame)));
                }
                Output::PushPull { to, frame } => {
                    drop(task::spawn_local(streams::push_pull(self.clone(), to, frame)));
                }
                Output::Event(event) => self.log_event(event),
            }
        }
    }

    fn log_event(&self, event: Event) {
        match event {
            Event::Joined { members } => {
                info!(target: "fleet", fleet = %self.name, members, "joined the fleet");
            }
            Event::StateChanged { name, from, to, reporter } => {
                self.recorder.record(&RecorderEvent::MemberStateChanged {
                    name: BoundedName::new(&name),
                    from: from.map(recorded_code),
                    to: recorded_code(to),
                });
                let from = from.map_or("new", MemberState::as_str);
                info!(target: "fleet", member = %name, from, to = to.as_str(), %reporter, "member state changed");
            }
            Event::ReachabilityChanged { name, reachable: true } => {
                info!(target: "fleet", member = %name, "member reachable from this node again");
            }
            Event::ReachabilityChanged { name, reachable: false } => {
                warn!(
                    target: "fleet",
                    member = %name,
                    "member unreachable from this node; other members reach it, or this node is isolated"
                );
            }
            Event::ProcessStalled { duration } => {
                warn!(target: "fleet", duration_ms = duration / MS, "membership loop stalled");
            }
            Event::Superseded { address } => {
                warn!(
                    target: "fleet",
                    %address,
                    "a later process has this node's name; this process is no longer a member"
                );
            }
            Event::PeerRejected { address, error } => {
                self.rejected_peers.set(self.rejected_peers.get() + 1);
                warn!(target: "fleet", peer = %address, reason = %error, "peer rejected");
            }
        }
    }
}

/// Returns the code of a state in recordings.
fn recorded_code(state: MemberState) -> u8 {
    state.code() as u8
}
