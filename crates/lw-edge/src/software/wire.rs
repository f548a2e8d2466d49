//! Encoded form of the history of a service's software versions in the store.

use lw_place::software::{Assignment, Former, History};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The history of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryWire {
    era: Era,
    current: AssignmentWire,
    former: Vec<FormerWire>,
    next_number: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FormerWire {
    number: u64,
    assignment: Option<AssignmentWire>,
}

/// The versions, and for each slot the position of its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AssignmentWire {
    versions: Vec<SoftwareVersion>,
    slots: Vec<u8>,
}

impl From<&Assignment> for AssignmentWire {
    fn from(assignment: &Assignment) -> Self {
        Self { versions: assignment.versions().to_vec(), slots: assignment.slots().to_vec() }
    }
}

impl TryFrom<AssignmentWire> for Assignment {
    type Error = String;

    fn try_from(wire: AssignmentWire) -> Result<Self, String> {
        let assignment = Self::from_parts(wire.versions, wire.slots);
        assignment.ok_or_else(|| "no valid assignment".into())
    }
}

impl From<&History> for HistoryWire {
    fn from(history: &History) -> Self {
        let former = |former: &Former| FormerWire {
            number: former.number,
            assignment: former.assignment.as_ref().map(Into::into),
        };
        Self {
            era: history.era,
            current: (&history.current).into(),
            former: history.former.iter().map(former).collect(),
            next_number: history.next_number,
        }
    }
}

impl TryFrom<HistoryWire> for History {
    type Error = String;

    fn try_from(wire: HistoryWire) -> Result<Self, String> {
        let former = |former: FormerWire| {
            let assignment = former.assignment.map(Assignment::try_from).transpose()?;
            Ok(Former { number: former.number, assignment })
        };
        Ok(Self {
            era: wire.era,
            current: wire.current.try_into()?,
            former: wire.former.into_iter().map(former).collect::<Result<_, String>>()?,
            next_number: wire.next_number,
        })
    }
}
