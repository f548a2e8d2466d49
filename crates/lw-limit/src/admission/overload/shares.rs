//! Divides the capacity of a service: by priority of the workspaces, then max-min fairly between workspaces, then by
//! priority of the routes of one workspace.

use std::collections::BTreeMap;

use super::{
    Key,
    demand::{Estimate, as_f64},
};
use crate::admission::share;

/// Standard deviations by which the estimated demand of a workspace must exceed its share before it is limited. The
/// smaller ones are used where those workspaces alone cannot give up enough.
const SIGNIFICANT_DEVIATIONS: [f64; 3] = [2.0, 1.0, 0.0];

/// Part of its share that a limited workspace keeps while a long wait is reduced.
const LIMITED_MIN: f64 = 0.1;

/// Demand of one workspace and its routes, most urgent first.
type WorkspaceDemand<'a> = (f64, f64, Vec<(&'a Key, f64)>);

/// Returns the fraction of the demand that is admitted, for each key for which that is not all. Shares are those of the
/// `capacity`. In a sudden peak the demand is higher than its averages, by a factor of `surge`. `allowed` is the work to admit,
/// which is less while a long wait is reduced. All are in the unit of the demand.
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
/// let admitted = fractions(&demand, 50.0, 1.0, 50.0);
/// assert_eq!(admitted, BTreeMap::from([(key(2, 2), 20.0 / 60.0)]));
/// ```
#[must_use]
pub fn fractions(
    demand: &BTreeMap<Key, Estimate>,
    capacity: f64,
    surge: f64,
    allowed: f64,
) -> BTreeMap<Key, f64> {
    let mut levels: BTreeMap<u8, BTreeMap<u32, WorkspaceDemand<'_>>> = BTreeMap::new();
    // Keys are sorted by level within a workspace.
    for (key, estimate) in demand {
        let workspaces = levels.entry(key.level.workspace).or_default();
        let (offered, variance, routes) = workspaces.entry(key.workspace).or_default();
        *offered += estimate.offered;
        *variance += estimate.deviation * estimate.deviation;
        routes.push((key, estimate.offered));
    }
    let mut left = [capacity.max(allowed), (capacity / surge).max(allowed), allowed];
    let mut admitted = BTreeMap::new();
    for workspaces in levels.values() {
        if let Some(share) = Share::of(workspaces, left) {
            for (_, _, routes) in workspaces.values().filter(|workspace| share.limits(workspace)) {
                admit_routes(routes, share.limited, &mut admitted);
            }
        }
        let total: f64 = workspaces.values().map(|(offered, ..)| offered).sum();
        left = left.map(|left| (left - total).max(0.0));
    }
    admitted
}

/// Share of each workspace of one priority.
struct Share {
    /// Demand up to which a workspace is not limited.
    fair: f64,
    /// Standard deviations by which a demand must be higher for its workspace to be limited.
    deviations: f64,
    /// Work that is admitted of each limited workspace.
    limited: f64,
}

impl Share {
    /// Returns the shares, or none if all demand fits. Random variation alone puts a workspace above its share now and
    /// then, so it is limited only if its demand is significantly higher. What the others get too much is taken from those
    /// that are limited, as is what must not be admitted while a long wait is reduced.
    fn of(
        workspaces: &BTreeMap<u32, WorkspaceDemand<'_>>,
        [capacity, in_surge, allowed]: [f64; 3],
    ) -> Option<Self> {
        let level = |demands: Vec<f64>, allowed| {
            let demands: Vec<_> =
                demands.into_iter().map(|offered| share::demand(offered, 1)).collect();
            share::level(&demands, allowed)
        };
        let fair = level(workspaces.values().map(|(offered, ..)| *offered).collect(), in_surge)?;
        // No share is less than an equal part.
        let fair = fair.max(capacity / as_f64(workspaces.len()));
        for deviations in SIGNIFICANT_DEVIATIONS {
            let share = Self { fair, deviations, limited: fair };
            let (limited, others): (Vec<_>, Vec<_>) =
                workspaces.values().partition(|workspace| share.limits(workspace));
            let others: f64 = others.iter().map(|(offered, ..)| offered).sum();
            let floor = fair * LIMITED_MIN * as_f64(limited.len());
            if limited.is_empty() || capacity - others < floor && deviations > 0.0 {
                continue;
            }
            let offered = limited.iter().map(|(offered, ..)| *offered).collect();
            let limited = level(offered, (allowed - others).max(floor))?;
            return Some(Self { limited, ..share });
        }
        None
    }

    fn limits(&self, (offered, variance, _): &WorkspaceDemand<'_>) -> bool {
        offered - self.deviations * variance.sqrt() > self.fair
    }
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
