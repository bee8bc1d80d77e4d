//! The former name of `pumicehead-chaos`.

fn main() -> std::process::ExitCode {
    pumicehead_chaos::cli::main()
}
