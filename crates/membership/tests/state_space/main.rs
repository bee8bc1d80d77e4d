//! Model checking of the production state machine: explores all orders of deliveries, losses, crashes, restarts and timers for
//! three members within bounds.
//!
//! From each reachable state, the fleet has to converge with all members alive if no further faults occur. In no table may an
//! earlier process of a member replace a later one.

use pumicehead_membership::MemberState;
use stateright::{Checker, Model, Property};

use crate::fleet::{Fleet, Message, NODES};

mod fleet;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(Message),
    Lose(Message),
    Tick(usize),
    Crash(usize),
    Restart(usize),
}

/// The model with the bounds of the exploration.
struct BoundedFleet {
    steps: u8,
    losses: u8,
    crashes: u8,
}

impl Model for BoundedFleet {
    type State = Fleet;
    type Action = Action;

    /// A fleet that is just starting, a converged one, and ones in which a killed member is suspect and dead.
    fn init_states(&self) -> Vec<Fleet> {
        let starting = Fleet::start_all();
        let converged = starting.continue_without_faults(400);
        assert!(converged.is_healthy());
        let mut killed = converged.clone();
        killed.nodes[2].member = None;
        let first_with_state = |state: MemberState| {
            (0..200)
                .map(|ticks| killed.continue_without_faults(ticks))
                .find(|fleet| fleet.state_of(0, 2) == Some(state))
        };
        let (suspected, dead) =
            (first_with_state(MemberState::Suspect).unwrap(), first_with_state(MemberState::Dead).unwrap());
        vec![starting, converged, suspected, dead]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        if fleet.steps >= self.steps {
            return;
        }
        for message in &fleet.network {
            actions.push(Action::Deliver(message.clone()));
            if fleet.losses < self.losses {
                actions.push(Action::Lose(message.clone()));
            }
        }
        for node in 0..NODES {
            if fleet.nodes[node].member.is_some() {
                actions.push(Action::Tick(node));
                if fleet.crashes < self.crashes {
                    actions.push(Action::Crash(node));
                }
            } else {
                actions.push(Action::Restart(node));
            }
        }
    }

    fn next_state(&self, fleet: &Fleet, action: Action) -> Option<Fleet> {
        let mut next = fleet.clone();
        next.steps += 1;
        match action {
            Action::Deliver(message) => next.deliver(&message),
            Action::Lose(message) => {
                next.network.remove(&message);
                next.losses += 1;
            }
            Action::Tick(node) => next.tick(node),
            Action::Crash(node) => {
                next.nodes[node].member = None;
                next.crashes += 1;
            }
            Action::Restart(node) => next.start(node),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no earlier process replaces a later one", |_, fleet: &Fleet| {
                !fleet.epoch_went_back
            }),
            Property::always(
                "without further faults all tables become equal with all members alive",
                |_, fleet: &Fleet| fleet.converges(),
            ),
        ]
    }
}

/// All states that are reachable with up to seven steps, two losses and one crash satisfy the properties.
#[test]
fn tables_converge_from_every_reachable_state() {
    let checker = BoundedFleet { steps: 7, losses: 2, crashes: 1 }.checker().threads(2).spawn_bfs().join();
    assert!(checker.unique_state_count() > 100_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}
