//! Runs all cases, prints the summary table and writes it to `target/bench/summary.tsv`.
//!
//! Wall-clock times vary between runs and are written to `target/bench/cost.tsv`.

use std::{fs, io, path::Path};

fn main() -> io::Result<()> {
    let dir = Path::new(lw_bench::plot::OUTPUT_DIR);
    fs::create_dir_all(dir)?;
    let table = lw_bench::summary::to_tsv(&lw_bench::cases::all());
    fs::write(dir.join("summary.tsv"), &table)?;
    print!("{table}");
    let costs = lw_bench::summary::to_tsv(&lw_bench::cost::rows());
    fs::write(dir.join("cost.tsv"), &costs)?;
    eprint!("{costs}");
    Ok(())
}
