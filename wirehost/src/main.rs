//! Serves instances to the simulator over standard input and output.

use oatlever_wirehost::{frame, host::Host};
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::default();
    while let Some(batch) = frame::read_batch(&mut input).map_err(|e| e.to_string())? {
        let reply = host.answer(&batch).map_err(|e| format!("batch {}: {e}", batch.number))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing the reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oatlever-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
