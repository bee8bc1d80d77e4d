//! The `pumicehead-chaos` program.

fn main() -> std::process::ExitCode {
    pumicehead_chaos::cli::main()
}
