//! The former name of `pumicehead-testbed`.

fn main() -> std::process::ExitCode {
    pumicehead_testbed::cli::main()
}
