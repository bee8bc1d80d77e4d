//! Hosts the instances of the decision module.

use pumicehead_policy::decision_event::RateLimitedLog;
use pumicehead_policy::{Action, Balancer, Event, Nanos};
use rustc_hash::FxHashMap;

use crate::{InstanceId, InstanceInput, ReplyEncoder};

/// The running instances by number.
#[derive(Default)]
pub struct Instances {
    running: FxHashMap<InstanceId, Instance>,
    /// Buffer that is reused for each event to avoid allocations; empty between events.
    actions: Vec<Action>,
}

/// One instance of the decision module with its log.
struct Instance {
    balancer: Balancer,
    log: RateLimitedLog,
}

impl Instances {
    /// Applies one input at `now` and adds the resulting log lines, followed by the actions, to `reply`. Events of
    /// instances that are not running are ignored.
    pub fn apply(&mut self, id: InstanceId, input: InstanceInput, now: Nanos, reply: &mut ReplyEncoder) {
        match input {
            InstanceInput::Begin { seed, settings } => {
                let balancer = Balancer::new(*settings, seed);
                self.running.insert(id, Instance { balancer, log: RateLimitedLog::default() });
            }
            InstanceInput::Killed => {
                self.running.remove(&id);
            }
            InstanceInput::Event(event) => self.handle(id, event, now, reply),
        }
    }

    fn handle(&mut self, id: InstanceId, event: Event, now: Nanos, reply: &mut ReplyEncoder) {
        let Some(Instance { balancer, log }) = self.running.get_mut(&id) else { return };
        balancer.handle(now, event, &mut self.actions);
        for line in balancer.decision_events().iter().filter_map(|event| log.line(event, now)) {
            reply.log(id, &line);
        }
        for action in self.actions.drain(..) {
            reply.push(id, &action);
        }
    }
}
