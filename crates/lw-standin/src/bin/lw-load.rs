//! Sends streamed chat requests to the router's VMs and checks each answer.

use std::{net::SocketAddr, process::ExitCode};

use lw_standin::{
    args,
    load::{Options, Outcome, run},
};
use pico_args::{Arguments, Error};

const HELP: &str = "\
Usage: lw-load --vm ADDRESS [--vm ADDRESS ...] [OPTIONS]

  --vm ADDRESS      callers' address of a VM; may be repeated
  --key KEY         API key [environment variable LAVENDERWOOD_API_KEY]
  --model NAME      model, or MODEL:ADAPTER [m]
  --class NAME      live, standard or bulk
  --seed N          seed of the requests [1]
  --callers N       callers that send at the same time [8]
  --requests N      requests to send [100]
  --time-ms MS      time after which no request is begun [30000]
  --silence-ms MS   silence after which a caller gives up [10000]
  --retries N       times that a request without a whole answer is sent again [0]
  --stations N      prefixes of the first level [2]
  --programmes N    prefixes of the second level in each of the first [3]
  --level-bytes N   bytes of each shared level [8192]
  --max-tokens N    tokens of each answer [32]
  --json            print the counts as JSON

Exit status: 0 when every answer was whole and in order, 1 when not, 2 for wrong arguments.";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let json = args.contains("--json");
    let options = parse_options(&mut args);
    let unknown = args.finish();
    let options = match options {
        Ok(options) if unknown.is_empty() && !options.vms.is_empty() => options,
        Ok(_) if !unknown.is_empty() => {
            return usage_error(&format!("unknown arguments {unknown:?}"));
        }
        Ok(_) => return usage_error("--vm is missing"),
        Err(e) => return usage_error(&e.to_string()),
    };
    let outcome = tokio::runtime::Runtime::new()
        .map_err(|e| e.to_string())
        .and_then(|rt| rt.block_on(run(options)).map_err(|e| e.to_string()));
    match outcome {
        Ok(outcome) => print_outcome(&outcome, json),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("{message}; see --help");
    ExitCode::from(2)
}

fn print_outcome(outcome: &Outcome, json: bool) -> ExitCode {
    match serde_json::to_string(outcome) {
        Ok(text) if json => println!("{text}"),
        _ => println!("{outcome}"),
    }
    if outcome.is_complete() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse_options(args: &mut Arguments) -> Result<Options, Error> {
    let defaults = Options::default();
    Ok(Options {
        vms: args.values_from_str::<_, SocketAddr>("--vm")?,
        key: match args.opt_value_from_str("--key")? {
            Some(key) => key,
            None => std::env::var("LAVENDERWOOD_API_KEY").unwrap_or_default(),
        },
        model: args::value(args, "--model", defaults.model)?,
        class: args.opt_value_from_str("--class")?,
        seed: args::value(args, "--seed", defaults.seed)?,
        callers: args::value(args, "--callers", defaults.callers)?,
        requests: args::value(args, "--requests", defaults.requests)?,
        time: args::millis(args, "--time-ms", defaults.time)?,
        idle_timeout: args::millis(args, "--silence-ms", defaults.idle_timeout)?,
        retries: args::value(args, "--retries", defaults.retries)?,
        first_level_prefixes: args::value(args, "--stations", defaults.first_level_prefixes)?,
        second_level_prefixes: args::value(args, "--programmes", defaults.second_level_prefixes)?,
        level_bytes: args::value(args, "--level-bytes", defaults.level_bytes)?,
        max_tokens: args::value(args, "--max-tokens", defaults.max_tokens)?,
    })
}
