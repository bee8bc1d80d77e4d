//! Delivery of events to members, and execution of their outputs.

use super::Simulation;
use super::event::{SimEvent, StreamPurpose};
use super::network::{node_address, node_at};
use super::process::ProcessState;
use crate::Nanos;
use crate::membership::{Output, StreamAction};
use crate::probe::{SequenceNumber, StreamProbeOutcome};

impl Simulation {
    /// Delivers an event to a node. Events for a paused process are buffered, those for a process that is down are lost.
    pub(super) fn deliver(&mut self, node: usize, event: SimEvent) {
        let process = &mut self.processes[node];
        if event == SimEvent::Timer {
            if process.timer_at != self.now || process.state != ProcessState::Running {
                return;
            }
            process.timer_at = Nanos::MAX;
        }
        match process.state {
            ProcessState::Down => return,
            ProcessState::Paused => return process.buffer_event(event),
            ProcessState::Running => {}
        }
        self.handle(node, event);
        self.execute_outputs_and_schedule_timer(node);
    }

    fn handle(&mut self, node: usize, event: SimEvent) {
        let now = self.now;
        let Some(member) = &mut self.processes[node].member else { return };
        match event {
            SimEvent::Datagram { from, bytes } => member.on_datagram(now, node_address(from), &bytes),
            SimEvent::Timer => {
                if member.next_timer() <= now {
                    member.on_timer(now);
                }
            }
            SimEvent::StreamProbeFailed { seq, outcome } => member.on_stream_probe(now, seq, outcome),
            SimEvent::Request { from, purpose, bytes } => {
                let reply = match member.on_stream_request(now, node_address(from), &bytes) {
                    Ok(StreamAction::Reply(reply)) => reply,
                    Ok(StreamAction::Close) => return,
                    Err(rejected) => rejected.reply,
                };
                self.send_frame(node, from, reply, |from, bytes| SimEvent::Reply { from, purpose, bytes });
            }
            SimEvent::Reply { from, purpose, bytes } => {
                let action = member.on_stream_reply(now, node_address(from), &bytes);
                match (purpose, action) {
                    (StreamPurpose::Probe(seq), _) => {
                        member.on_stream_probe(now, seq, StreamProbeOutcome::Answered);
                    }
                    (StreamPurpose::PushPull, StreamAction::Reply(bytes)) => {
                        self.send_request(node, from, purpose, bytes);
                    }
                    (StreamPurpose::PushPull, StreamAction::Close) => {}
                }
            }
        }
    }

    pub(super) fn execute_outputs_and_schedule_timer(&mut self, node: usize) {
        self.execute_outputs(node);
        let process = &mut self.processes[node];
        let Some(member) = &process.member else { return };
        let next = member.next_timer().max(self.now);
        if process.state == ProcessState::Running && next < process.timer_at {
            process.timer_at = next;
            self.queue.push(next, node, SimEvent::Timer);
        }
    }

    pub(super) fn execute_outputs(&mut self, node: usize) {
        let Some(member) = &mut self.processes[node].member else { return };
        let outputs: Vec<_> = member.take_outputs().collect();
        for output in outputs {
            match output {
                Output::Event(event) => self.processes[node].events.push(event),
                Output::Datagram { to, bytes } => self.send_datagram(node, node_at(to), &bytes),
                Output::PushPull { to, frame } => {
                    self.send_request(node, node_at(to), StreamPurpose::PushPull, frame);
                }
                Output::StreamProbe { seq, to, frame } => self.probe_stream(node, node_at(to), seq, frame),
            }
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let process = &mut self.processes[from];
        process.bytes_sent += bytes.len() as u64;
        process.datagrams_sent += 1;
        for delay in self.network.datagram_delays(from, to) {
            self.queue.push(self.now + delay, to, SimEvent::Datagram { from, bytes: bytes.to_vec() });
        }
    }

    fn probe_stream(&mut self, from: usize, to: usize, seq: SequenceNumber, frame: Vec<u8>) {
        let timeout = self.config.settings.probe_timeout;
        let (delay, outcome) = if !self.network.can_connect(from, to) {
            (timeout, StreamProbeOutcome::Unreachable)
        } else {
            match self.processes[to].state {
                ProcessState::Down => (2 * self.network.draw_delay(), StreamProbeOutcome::Refused),
                ProcessState::Paused => (timeout, StreamProbeOutcome::NoResponse),
                ProcessState::Running => {
                    return self.send_request(from, to, StreamPurpose::Probe(seq), frame);
                }
            }
        };
        self.queue.push(self.now + delay, from, SimEvent::StreamProbeFailed { seq, outcome });
    }

    fn send_request(&mut self, from: usize, to: usize, purpose: StreamPurpose, bytes: Vec<u8>) {
        self.send_frame(from, to, bytes, |from, bytes| SimEvent::Request { from, purpose, bytes });
    }

    fn send_frame(
        &mut self,
        from: usize,
        to: usize,
        bytes: Vec<u8>,
        event: impl FnOnce(usize, Vec<u8>) -> SimEvent,
    ) {
        self.processes[from].bytes_sent += bytes.len() as u64;
        if let Some(delay) = self.network.frame_delay(from, to) {
            self.queue.push(self.now + delay, to, event(from, bytes));
        }
    }
}
