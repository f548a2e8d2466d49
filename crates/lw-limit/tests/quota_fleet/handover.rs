//! Guards against slots whose keys still name a VM that has left as planned: nobody else can take them until its lease ends.

use lw_limit::quota::keeper::SlotItem;

use super::*;

const OWN: &str = "vm-1";
const WORKSPACE: &str = "station";

/// One VM that holds all slots of a store.
struct Holding {
    now: Now,
    store: Store,
    keeper: Keeper,
    lease: Lease,
    /// Slot, revision and time of reading of a key that cannot be decoded.
    unreadable: Option<(u8, Revision, Now)>,
}

impl Holding {
    fn new() -> Self {
        let mut holding = Self::registered();
        let write = holding.update().expect("the slots are taken");
        assert!(write.is_taking);
        holding.carry_out(write);
        assert_eq!(holding.keeper.holder.slots().count(), usize::from(SLOTS));
        // The levels rise above the lowest ones.
        holding.now += ms(2_000);
        assert_eq!(holding.update(), None);
        holding
    }

    /// Returns a VM that holds none yet.
    fn registered() -> Self {
        let (now, mut store) = (ms(10_000), Store::new());
        let (id, era) = store.create_lease(now, OWN);
        let lease = Lease { id, era, valid_until: now + LEASE_TIME };
        let mut keeper = Keeper::default();
        let rule = Rule { window: ms(8_000), overshoot: 0.1, slack: Some(190_000.0) };
        let share = Share::new(Cap { rate: 47_000.0, burst: 47_000.0 }, &rule);
        keeper.configure(now, 1, HashMap::from([(WORKSPACE.to_owned(), share)]));
        Self { now, store, keeper, lease, unreadable: None }
    }

    fn update(&mut self) -> Option<SlotWrite> {
        self.now += ms(50);
        let mut view = Snapshot::clone(&self.store.read(self.now));
        if let Some((slot, revision, read_at)) = self.unreadable {
            view.items.insert(slot, SlotItem { revision, value: None, read_at });
        }
        let fleet = Fleet {
            own: OWN,
            vms: &[OWN],
            era: view.era,
            recorded_era: view.recorded_era,
            former_leases_end: Some(Now::ZERO),
            lease_time: LEASE_TIME,
            is_current: true,
            lease: Some(self.lease),
            items: &view.items,
            has_caps: true,
        };
        self.keeper.update(self.now, &fleet).write
    }

    fn carry_out(&mut self, write: SlotWrite) {
        let position = self.store.write(self.now, &write);
        assert!(position.is_some(), "refused by the store: {write:?}");
        assert!(self.keeper.on_written(self.now, write, position));
    }

    /// Updates the slots until nothing is left to do, at most for the time that a planned shutdown may take.
    fn leave(&mut self) {
        let end = self.now + ms(1_000);
        while !self.keeper.is_idle() {
            assert!(self.now < end, "the slots are not released");
            if let Some(write) = self.update() {
                self.carry_out(write);
            }
        }
    }

    /// Checks that no key names the VM, and that the keys have this level for the next holder.
    fn assert_released(&mut self, level: f64) {
        let view = self.store.read(self.now);
        assert_eq!(view.items.len(), usize::from(SLOTS));
        for item in view.items.values() {
            let value = item.value.as_ref().expect("a value");
            assert_eq!(value.holder, None);
            let difference = value.levels.get(WORKSPACE).copied().unwrap_or(f64::MAX) - level;
            assert!(difference.abs() < 0.001, "{:?} instead of {level}", value.levels);
        }
    }

    /// Returns the level that each bucket has now.
    fn level(&mut self) -> f64 {
        let claim = Claim {
            slot: 0,
            number: 1,
            workspace: WORKSPACE.to_owned(),
            cost: 90_000_000,
            config: 1,
        };
        let Reply::Wait { level, .. } = self.keeper.holder.decide(self.now, &claim) else {
            unreachable!("a cost above the capacity is not granted");
        };
        level
    }
}

#[test]
fn a_vm_that_leaves_releases_its_slots_although_each_key_has_a_revision_of_its_own() {
    let mut holding = Holding::new();
    holding.keeper.leave();
    let level = holding.level();
    holding.leave();
    holding.assert_released(level + 0.05 * 23_500.0);
}

#[test]
fn a_release_that_fails_is_repeated_with_its_levels() {
    for takes_effect in [false, true] {
        let mut holding = Holding::new();
        holding.keeper.leave();
        let write = holding.update().expect("a release");
        let level = write.entries[0].2.levels[WORKSPACE];
        if takes_effect {
            holding.store.write(holding.now, &write);
        }
        assert!(!holding.keeper.on_written(holding.now, write, None));
        assert_eq!(holding.keeper.holder.slots().count(), 0, "it grants after the release");
        holding.leave();
        holding.assert_released(level);
    }
}

/// Guards against a release that waits for the view to show what it cannot show.
#[test]
fn a_vm_that_leaves_while_it_takes_slots_releases_them() {
    for is_answered in [false, true] {
        let mut holding = Holding::registered();
        let write = holding.update().expect("the slots are taken");
        holding.keeper.leave();
        assert_eq!(holding.update(), None);
        let position = holding.store.write(holding.now, &write);
        holding.keeper.on_written(holding.now, write, position.filter(|_| is_answered));
        // An unanswered write is known from the view.
        let release = holding.update().expect("a release");
        assert_eq!(release.entries.len(), usize::from(SLOTS));
        holding.carry_out(release);
        assert!(holding.keeper.is_idle());
        assert!(
            holding
                .store
                .read(holding.now)
                .items
                .values()
                .all(|item| { item.value.as_ref().is_some_and(|value| value.holder.is_none()) })
        );
    }
}

/// Guards against a slot that nobody can take any more since the value of its key cannot be decoded, and against one that is
/// taken while its former holder may still grant.
#[test]
fn a_slot_whose_key_cannot_be_decoded_is_taken_when_all_leases_have_ended() {
    let mut holding = Holding::new();
    let broken_at = holding.now + ms(20);
    holding.unreadable = Some((5, 1_000, broken_at));
    assert_eq!(holding.update(), None);
    assert!(holding.keeper.holder.revision(5).is_none(), "it grants on a key that was overwritten");
    let until_taken = |slot| holding.keeper.time_until_taken(holding.now, slot);
    assert_eq!(until_taken(5), (broken_at + LEASE_TIME).saturating_sub(holding.now));
    assert_eq!(until_taken(4), Duration::ZERO);
    loop {
        assert!(holding.now <= broken_at + LEASE_TIME + ms(500), "not taken");
        holding.lease.valid_until = holding.now + LEASE_TIME;
        let Some(write) = holding.update() else { continue };
        assert!(holding.now >= broken_at + LEASE_TIME, "taken at {:?}", holding.now);
        let slots: Vec<_> =
            write.entries.iter().map(|(slot, revision, _)| (*slot, *revision)).collect();
        assert_eq!(slots, [(5, 1_000)]);
        break;
    }
}

/// Returns the decision on a request whose slots have no holder until `held_at`, and when it was made.
fn decide(held_at: Now) -> (Decision, Now) {
    let (mut now, mut number) = (ms(0), 0);
    let rule = Rule { window: ms(8_000), overshoot: 0.1, slack: None };
    let share = Share::new(Cap { rate: 47_000.0, burst: 47_000.0 }, &rule);
    let (mut requester, mut ask) =
        (Requester::default(), Ask::new(WORKSPACE, slots_of(WORKSPACE), 1, 1, share));
    loop {
        number += 1;
        match requester.decide(now, &mut ask, number) {
            Decision::Ask(_) if now >= held_at => {
                requester.on_reply(now, number, Reply::Granted { level: 1.0 });
            }
            Decision::Ask(_) => {
                requester.on_reply(now, number, Reply::NotHolder);
            }
            Decision::Wait(pause) => now += pause,
            decision => return (decision, now),
        }
    }
}

/// Guards against a refusal in the moment in which another VM takes the slots, and against one that comes too late.
#[test]
fn a_request_waits_while_its_slots_change_holders_for_a_bounded_time() {
    for held_after in [0, 1, 60, 140] {
        let (decision, at) = decide(ms(held_after));
        assert!(matches!(decision, Decision::Admitted(_)), "{decision:?} after {held_after} ms");
        assert!(at <= ms(150), "after {at:?}");
    }
    let (decision, at) = decide(Now::MAX);
    assert_eq!(decision, Decision::Unavailable);
    assert!((ms(120)..=ms(150)).contains(&at), "after {at:?}");
}

/// Guards against a further wait for holders that do not reply.
#[test]
fn a_request_whose_holders_are_silent_does_not_wait() {
    let rule = Rule { window: ms(8_000), overshoot: 0.1, slack: None };
    let share = Share::new(Cap { rate: 47_000.0, burst: 47_000.0 }, &rule);
    let (mut requester, mut ask) =
        (Requester::default(), Ask::new(WORKSPACE, slots_of(WORKSPACE), 1, 1, share));
    assert!(matches!(requester.decide(ms(0), &mut ask, 1), Decision::Ask(_)));
    assert!(matches!(requester.decide(ms(25), &mut ask, 2), Decision::Ask(_)));
    assert_eq!(requester.decide(ms(175), &mut ask, 3), Decision::Unavailable);
}
