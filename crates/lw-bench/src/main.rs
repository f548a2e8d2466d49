//! Runs all cases, prints the table and writes `target/bench/summary.tsv`.

use std::{fs, io, path::Path};

fn main() -> io::Result<()> {
    let rows = lw_bench::cases::all();
    let table = lw_bench::summary::to_tsv(&rows);
    let dir = Path::new("target/bench");
    fs::create_dir_all(dir)?;
    fs::write(dir.join("summary.tsv"), &table)?;
    print!("{table}");
    Ok(())
}
