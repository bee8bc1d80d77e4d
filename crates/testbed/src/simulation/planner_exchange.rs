//! Messages between nodes and planners in the simulation.

use bytes::Bytes;
use pumicehead_capacity_leases::ForwarderId;
use pumicehead_policy::Event;

use super::event::ScheduledEvent;
use super::forwarder::REPORT_INTERVAL;
use super::{NETWORK_LATENCY, Simulation};

impl Simulation {
    pub(super) fn on_report_due(&mut self, node: usize, planner: usize) {
        self.schedule(self.now + REPORT_INTERVAL, ScheduledEvent::ReportDue { node, planner });
        if self.planners[planner].is_none() {
            return;
        }
        let shares = self.nodes[node].balancer.slow_start_rates();
        let bytes = self.forwarders[node].report(planner, shares, self.now);
        // A node stops using what it lends before the planner learns of the loan.
        let advice = self.forwarders[node].advice(self.now);
        self.handle(node, Event::CapacityAdvice(advice));
        let message = self.send_message(bytes);
        let event = ScheduledEvent::ReportArrives { node, planner, message };
        self.schedule(self.now + NETWORK_LATENCY, event);
    }

    pub(super) fn on_report_arrives(&mut self, node: usize, planner: usize, message: usize) {
        let Some(bytes) = self.messages.remove(&message) else { return };
        let Some(process) = &mut self.planners[planner] else { return };
        if let Some(plan) = process.accept_report(ForwarderId(node as u64 + 1), &bytes, self.now) {
            let message = self.send_message(plan);
            let event = ScheduledEvent::PlanArrives { node, planner, message };
            self.schedule(self.now + NETWORK_LATENCY, event);
        }
    }

    pub(super) fn on_plan_arrives(&mut self, node: usize, planner: usize, message: usize) {
        let Some(bytes) = self.messages.remove(&message) else { return };
        if !self.forwarders[node].accept_plan(planner, &bytes, self.now) {
            return;
        }
        let advice = self.forwarders[node].advice(self.now);
        let lent = |server| advice.lent.iter().find(|(id, _)| *id == server).map_or(0.0, |(_, rate)| *rate);
        let exceeds_loan = advice.granted.iter().any(|&(server, rate)| rate > lent(server));
        self.counters.grants += u64::from(exceeds_loan);
        self.handle(node, Event::CapacityAdvice(advice));
    }

    /// Stores a message in flight and returns its number.
    fn send_message(&mut self, bytes: Bytes) -> usize {
        self.counters.planner_bytes += bytes.len() as u64;
        self.messages_sent += 1;
        self.messages.insert(self.messages_sent, bytes);
        self.messages_sent
    }
}
