//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum Form {
    Text,
    Json,
}

/// Starts logging. Fails if the filter can't be parsed.
pub fn start(form: Form, filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("--log-filter {filter:?}: {e}"))?;
    // Without this, a failed write is itself reported on standard error, and that panics and ends the pilot once
    // the reader of its log has exited.
    let builder = tracing_subscriber::fmt().log_internal_errors(false);
    let builder = builder.with_env_filter(filter).with_writer(std::io::stderr);
    match form {
        Form::Text => builder.with_ansi(false).init(),
        Form::Json => builder.json().init(),
    }
    Ok(())
}
