//! The stand-ins for the cases 6 to 10 of the review: clients, backends, discovery and the platform, all in one process
//! that starts the nodes. One subcommand a case; `run.sh` of a case starts it.

mod id_of_open_request;
mod late_answers;
mod memory_of_answers;
mod stopped_heads;
mod streamed_body;
mod support;

use std::env;
use std::process::ExitCode;

use support::Case;

fn main() -> ExitCode {
    let run = match env::args().nth(1).as_deref() {
        Some("id-of-open-request") => id_of_open_request::run,
        Some("memory-of-answers") => memory_of_answers::run,
        Some("late-answers") => late_answers::run,
        Some("stopped-heads") => stopped_heads::run,
        Some("streamed-body") => streamed_body::run,
        other => {
            eprintln!("no such case: {other:?}");
            return ExitCode::from(2);
        }
    };
    let case = Case::begin();
    let verdict = run(&case);
    // All nodes have been waited for.
    case.folder.forget_processes();
    verdict.exit(&case.record)
}
