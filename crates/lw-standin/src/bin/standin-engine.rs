//! Runs a stand-in for a model engine.

use std::process::ExitCode;

use lw_standin::{
    args,
    engine::{Options, start},
};
use pico_args::{Arguments, Error};

const HELP: &str = "\
Usage: standin-engine [OPTIONS]

  --listen ADDRESS        address to listen on [127.0.0.1:0]
  --role NAME             role at the start [assistant]
  --model NAME=VERSION    a loaded model; may be repeated [m=1]
  --adapter NAME=VERSION  a loaded adapter; may be repeated
  --incarnation N         first incarnation [time of the start]
  --running N             most requests that run at once [8]
  --queue N               most requests that wait [64]
  --cache-blocks N        blocks in the prefix cache [256]
  --block-tokens N        tokens of a block [1024]
  --prefill-ms MS         time to compute a block [5]
  --token-ms MS           time from token to token [2]
  --answer-max N          longest answer in tokens
  --load-lag-ms MS        age of load reports [0]
  --no-age                load reports do not state their age
  --events-lag-ms MS      age at which cache events become visible [0]
  --load-ms MS            time to load weights [200]
  --ignore-fencing        take orders with an old fencing number
Fault switches are set at run time by POST /faults.";

fn main() -> ExitCode {
    args::run(HELP, |args| Ok(start(parse_options(args)?)))
}

fn parse_options(args: &mut Arguments) -> Result<Options, Error> {
    let defaults = Options::default();
    let models: std::collections::BTreeMap<_, _> = args::pairs(args, "--model")?;
    Ok(Options {
        listen: args::listen(args)?,
        role: args::value(args, "--role", defaults.role)?,
        models: if models.is_empty() { defaults.models } else { models },
        adapters: args::pairs(args, "--adapter")?,
        incarnation: args.opt_value_from_str("--incarnation")?,
        running_max: args::value(args, "--running", defaults.running_max)?,
        queue_max: args::value(args, "--queue", defaults.queue_max)?,
        cache_blocks: args::value(args, "--cache-blocks", defaults.cache_blocks)?,
        block_tokens: args::value(args, "--block-tokens", defaults.block_tokens)?,
        prefill_per_block: args::millis(args, "--prefill-ms", defaults.prefill_per_block)?,
        token_time: args::millis(args, "--token-ms", defaults.token_time)?,
        answer_max: args::value(args, "--answer-max", defaults.answer_max)?,
        load_lag: args::millis(args, "--load-lag-ms", defaults.load_lag)?,
        has_report_age: !args.contains("--no-age"),
        events_lag: args::millis(args, "--events-lag-ms", defaults.events_lag)?,
        load_time: args::millis(args, "--load-ms", defaults.load_time)?,
        is_fencing_checked: !args.contains("--ignore-fencing"),
        ..defaults
    })
}
