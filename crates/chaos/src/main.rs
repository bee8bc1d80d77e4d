//! Fault injection on processes, from the command line.

fn main() -> std::process::ExitCode {
    pumicehead_chaos::cli::main()
}
