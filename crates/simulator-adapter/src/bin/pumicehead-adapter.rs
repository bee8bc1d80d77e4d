//! Hosts instances of the decision module: reads frames from standard input, writes replies to standard output.

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use pumicehead_simulator_adapter::{FrameDecoder, Instances, ReplyEncoder, WireError, read_frame};

/// Capacity of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumicehead-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads frames and writes a reply to each until the input ends.
fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = FrameDecoder::default();
    let mut instances = Instances::default();
    let mut reply = ReplyEncoder::default();
    let (mut frame, mut reply_frame) = (Vec::new(), Vec::new());
    while read_frame(&mut input, &mut frame)? {
        let batch = decoder.decode(&frame)?;
        for (instance, input) in batch.inputs {
            instances.apply(instance, input, batch.now, &mut reply);
        }
        reply.finish(batch.sequence_number, &mut reply_frame);
        output.write_all(&reply_frame)?;
        output.flush()?;
        reply_frame.clear();
    }
    Ok(())
}
