//! How long the work of a request takes: learned for each service, for each engine, and for each kind of request.
//!
//! A service has one cost model, to which the samples of all its engines contribute. An engine has a lasting speed factor
//! against that model. Momentary slowdowns, which engines report, are kept out of both.

mod cost;
mod error;
mod output;
mod ratio;
mod speed;

pub(crate) use cost::{CostModel, EngineCost};
pub(crate) use error::EstimateErrors;
pub(crate) use output::OutputLengths;
pub(crate) use ratio::LogRatio;
pub(crate) use speed::Speed;
