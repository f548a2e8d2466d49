//! Divides the capacity of a service: by priority of the workspaces, then max-min fairly between workspaces, then by
//! priority of the routes of one workspace.

use std::collections::BTreeMap;

use super::{Key, demand::Estimate};
use crate::admission::share;

/// Standard deviations by which the estimated demand of a workspace must exceed its share before it is limited.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;

/// Demand of one workspace and its routes, most urgent first.
type WorkspaceDemand<'a> = (f64, f64, Vec<(&'a Key, f64)>);

/// Returns the fraction of the demand that is admitted, for each key for which that is not all. `allowed` is the work to
/// admit, in the unit of the demand.
///
/// ```
/// use std::collections::BTreeMap;
/// use lw_limit::admission::overload::{Key, Level, demand::Estimate, shares::fractions};
/// let key = |workspace, route| Key { workspace, level: Level { workspace: 0, route } };
/// let work = |offered| Estimate { offered, deviation: 0.0 };
/// let demand = BTreeMap::from([
///     (key(1, 0), work(10.0)),
///     (key(2, 0), work(20.0)),
///     (key(2, 2), work(60.0)),
/// ]);
/// let admitted = fractions(&demand, 50.0);
/// assert_eq!(admitted, BTreeMap::from([(key(2, 2), 20.0 / 60.0)]));
/// ```
#[must_use]
pub fn fractions(demand: &BTreeMap<Key, Estimate>, allowed: f64) -> BTreeMap<Key, f64> {
    let mut levels: BTreeMap<u8, BTreeMap<u32, WorkspaceDemand<'_>>> = BTreeMap::new();
    // Keys are sorted by level within a workspace.
    for (key, estimate) in demand {
        let workspaces = levels.entry(key.level.workspace).or_default();
        let (offered, variance, routes) = workspaces.entry(key.workspace).or_default();
        *offered += estimate.offered;
        *variance += estimate.deviation * estimate.deviation;
        routes.push((key, estimate.offered));
    }
    let mut left = allowed.max(0.0);
    let mut admitted = BTreeMap::new();
    for workspaces in levels.values() {
        let total: f64 = workspaces.values().map(|(offered, ..)| offered).sum();
        if let Some(level) = share_above(workspaces, left) {
            for (_, _, routes) in workspaces.values().filter(|workspace| level.limits(workspace)) {
                admit_routes(routes, level.share, &mut admitted);
            }
        }
        left = (left - total).max(0.0);
    }
    admitted
}

/// Share of each workspace whose demand is limited.
struct Share {
    share: f64,
    /// Standard deviations that a demand must be above the share in which it is not limited.
    deviations: f64,
    /// Largest demand that is not limited in any case.
    fair: f64,
}

impl Share {
    fn limits(&self, (offered, variance, _): &WorkspaceDemand<'_>) -> bool {
        offered - self.deviations * variance.sqrt() > self.fair
    }
}

/// Returns the share of workspaces that are limited, or none if all demand fits. Random variation alone puts a workspace
/// above its share now and then, so it is limited only if its demand is significantly higher. What it gets too much is
/// taken from those that are.
fn share_above(workspaces: &BTreeMap<u32, WorkspaceDemand<'_>>, allowed: f64) -> Option<Share> {
    let demands = |workspaces: Vec<f64>| -> Vec<_> {
        workspaces.into_iter().map(|offered| share::demand(offered, 1)).collect()
    };
    let all = workspaces.values().map(|(offered, ..)| *offered).collect();
    let fair = share::level(&demands(all), allowed)?;
    let significant = Share { share: fair, deviations: SIGNIFICANT_DEVIATIONS, fair };
    let (limited, others): (Vec<_>, Vec<_>) =
        workspaces.values().partition(|workspace| significant.limits(workspace));
    let others: f64 = others.iter().map(|(offered, ..)| offered).sum();
    let offered: Vec<_> = limited.iter().map(|(offered, ..)| *offered).collect();
    let rest = allowed - others;
    // Where the significantly higher ones cannot give up enough, all above their share are limited.
    if limited.is_empty() || rest < 0.5 * fair * usize_as_f64(limited.len()) {
        return Some(Share { share: fair, deviations: 0.0, fair });
    }
    share::level(&demands(offered), rest).map(|share| Share { share, ..significant })
}

/// Admits the routes of a workspace in the sequence of their urgency, up to its share.
fn admit_routes(routes: &[(&Key, f64)], share: f64, admitted: &mut BTreeMap<Key, f64>) {
    let mut left = share;
    for (key, offered) in routes {
        if *offered > left {
            admitted.insert(**key, left / offered);
        }
        left = (left - offered).max(0.0);
    }
}

#[expect(clippy::cast_precision_loss, reason = "there are far fewer than 2^52 workspaces")]
fn usize_as_f64(count: usize) -> f64 {
    count as f64
}
