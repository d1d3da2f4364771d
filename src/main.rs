//! Command-line program that loads the settings and runs the service.
//!
//! Owns the command line, the log level and the exit codes: 2 for invalid settings, 1 for a service that
//! cannot start. The XML files and the TOML file are read before any address is bound.

use anyhow::Context as _;
use clap::Parser;
use quillbend::settings::{Options, Platform, Settings};
use quillbend_spillover::settings::SpilloverSettings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// A cluster scheduler whose machines steal packs of work from one another.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Operators' own settings (XML).
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    /// Settings that turn on spillover between cells (XML).
    #[arg(long, value_name = "FILE")]
    spillover: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// List the elements of the XML file with defaults and ranges, and exit.
    #[arg(long)]
    list_options: bool,
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE", required_unless_present = "list_options")]
    config: Option<PathBuf>,
}

fn read_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| path.display().to_string())
}

fn load_settings(args: &Args) -> anyhow::Result<Settings> {
    let options = match &args.options {
        Some(path) => Options::parse(&read_file(path)?)?,
        None => Options::default(),
    };
    let path = args.config.as_ref().context("--config is missing")?;
    let mut settings = Settings::new(Platform::parse(&read_file(path)?)?, options);
    if let Some(path) = &args.spillover {
        let cancel_s = settings.platform.settings.workers.cancel_s;
        settings.spillover = Some(SpilloverSettings::parse(&read_file(path)?, cancel_s)?);
    }
    Ok(settings)
}

fn list_options() {
    for element in Options::TABLE {
        println!(
            "{}\tdefault {}\tfrom {} to {}",
            element.path, element.default, element.min, element.max
        );
    }
}

/// Logs to standard error; `LOG_LEVEL` is `debug`, `info` (the default) or `error`.
fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level)
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.list_options {
        list_options();
        return ExitCode::SUCCESS;
    }
    let settings = match load_settings(&args) {
        Ok(settings) => settings,
        Err(settings_error) => {
            eprintln!("quillbend: {settings_error:#}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    start_logging();
    let system = actix::System::new();
    match system.block_on(quillbend::runtime::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(start_error) => {
            eprintln!("quillbend: {start_error}");
            ExitCode::FAILURE
        }
    }
}
