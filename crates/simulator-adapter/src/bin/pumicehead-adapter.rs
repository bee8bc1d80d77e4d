//! Hosts instances of the module on a binary wire: frames on standard input, replies on standard output.

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use pumicehead_policy::Balancer;
use pumicehead_policy::decision_event::RateLimitedLog;
use pumicehead_simulator_adapter::{Decoder, Input, Instance, Reply, WireError, read_frame};
use rustc_hash::FxHashMap;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumicehead-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = Decoder::default();
    let mut instances: FxHashMap<Instance, (Balancer, RateLimitedLog)> = FxHashMap::default();
    let (mut frame, mut out, mut reply, mut actions) = (Vec::new(), Vec::new(), Reply::default(), Vec::new());
    while read_frame(&mut input, &mut frame)?.is_some() {
        let batch = decoder.decode(&frame)?;
        for (instance, input) in batch.input {
            match input {
                Input::Begin { seed, settings } => {
                    instances.insert(instance, (Balancer::new(*settings, seed), RateLimitedLog::default()));
                }
                Input::Killed => {
                    instances.remove(&instance);
                }
                Input::Event(event) => {
                    let Some((balancer, news)) = instances.get_mut(&instance) else { continue };
                    balancer.handle(batch.now, event, &mut actions);
                    for line in
                        balancer.decision_events().iter().filter_map(|note| news.line(note, batch.now))
                    {
                        reply.log(instance, &line);
                    }
                    for action in actions.drain(..) {
                        reply.push(instance, &action);
                    }
                }
            }
        }
        reply.finish(batch.seq, &mut out);
        output.write_all(&out)?;
        output.flush()?;
        out.clear();
    }
    Ok(())
}
