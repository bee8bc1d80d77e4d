//! Command line of the stand-ins, simulations and measurements.

fn main() -> std::process::ExitCode {
    pumicehead_testbed::cli::main()
}
