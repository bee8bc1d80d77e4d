//! Stand-ins, simulations and benchmarks from the command line.

fn main() -> std::process::ExitCode {
    pumicehead_testbed::cli::main()
}
