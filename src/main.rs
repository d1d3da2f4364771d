//! The program: reads its settings and runs the service.

use anyhow::Context as _;
use clap::Parser;
use quillbend::settings::{Options, Platform, Settings};
use quillbend_spillover::settings::SpilloverSettings;
use std::path::PathBuf;
use std::process::ExitCode;

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

fn load(args: &Args) -> anyhow::Result<Settings> {
    let read = |path: &PathBuf| {
        std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))
    };
    let options = match &args.options {
        Some(path) => Options::parse(&read(path)?)?,
        None => Options::default(),
    };
    let path = args.config.as_ref().context("--config is missing")?;
    let mut settings = Settings::new(Platform::parse(&read(path)?)?, options);
    if let Some(path) = &args.spillover {
        let cancel_s = settings.platform.settings.workers.cancel_s;
        settings.spillover = Some(SpilloverSettings::parse(&read(path)?, cancel_s)?);
    }
    Ok(settings)
}

fn log() {
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
        for (path, default, min, max) in Options::TABLE {
            println!("{path}\tdefault {default}\tfrom {min} to {max}");
        }
        return ExitCode::SUCCESS;
    }
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("quillbend: {e:#}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    log();
    let system = actix::System::new();
    match system.block_on(quillbend::runtime::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quillbend: {e}");
            ExitCode::FAILURE
        }
    }
}
