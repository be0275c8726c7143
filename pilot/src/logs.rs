//! Structured logs, on standard error.

use tracing_subscriber::EnvFilter;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum Form {
    Text,
    Json,
}

/// Errors: the filter makes no sense.
pub fn start(form: Form, filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("--log-filter {filter:?}: {e}"))?;
    // Guards against a pilot that ends as whoever read its log is gone: it would panic over telling so.
    let builder = tracing_subscriber::fmt().log_internal_errors(false);
    let builder = builder.with_env_filter(filter).with_writer(std::io::stderr);
    match form {
        Form::Text => builder.with_ansi(false).init(),
        Form::Json => builder.json().init(),
    }
    Ok(())
}
