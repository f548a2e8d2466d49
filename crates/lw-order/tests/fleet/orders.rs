//! How a VM carries out orders: it asks the engine for its orders, sends the order, and polls until the load is over.

use std::time::Duration;

use lw_order::{load_watch::LoadWatch, message::Order};

use super::{
    engine,
    vm::{Event, Output, Pending, Vm, engine_of, ms},
};

const POLL_PERIOD: u64 = 100;

/// An engine that is polled until it serves a version.
#[derive(Debug, Clone, Copy)]
pub struct Poll {
    engine: usize,
    version: u64,
    until: Duration,
    watch: LoadWatch,
    is_accepted: bool,
}

impl Vm {
    pub(super) fn on_order_due(&mut self, now: u64, order: Order) {
        if ms(now) >= order.send_before {
            return;
        }
        let (engine, _) = engine_of(&order);
        if let Some(orders) = self.accepted.get(&engine) {
            self.send_order(now, order, *orders);
        } else {
            let pending = Pending::AcceptedOrders(order);
            self.out.push(Output::Engine(engine, engine::Call::Report, pending));
        }
    }

    fn send_order(&mut self, now: u64, order: Order, expected_orders: u64) {
        let (engine, version) = engine_of(&order);
        if self.loading.get(&engine) == Some(&true) {
            return self.begin_poll(now, (engine, version), now, false);
        }
        if self.tenure.begin_order(ms(now), &order, self.latest_era).is_ok() {
            let call = engine::Call::Order { fence: order.fence, version, expected_orders };
            let pending = Pending::Order { order, expected_orders, sent: now };
            self.out.push(Output::Engine(engine, call, pending));
        }
    }

    pub(super) fn on_engine_answer(
        &mut self,
        now: u64,
        pending: Pending,
        answer: Option<engine::Answer>,
    ) {
        use engine::Answer;
        match (pending, answer) {
            (Pending::AcceptedOrders(order), Some(Answer::Report { is_loading, orders, .. })) => {
                self.loading.insert(engine_of(&order).0, is_loading);
                self.send_order(now, order, orders);
            }
            (Pending::Order { order, expected_orders, sent }, answer) => {
                self.tenure.end_order(ms(now), order.fence);
                let (engine, version) = engine_of(&order);
                if answer == Some(Answer::Fenced) {
                    return self.tenure.issuer().on_order_refused(ms(sent), order.fence);
                }
                let is_accepted = answer == Some(Answer::Accepted);
                if is_accepted {
                    self.accepted.insert(engine, expected_orders + 1);
                    self.loading.insert(engine, true);
                } else {
                    self.accepted.remove(&engine);
                }
                self.begin_poll(now, (engine, version), sent, is_accepted);
            }
            (Pending::Poll(mut poll), Some(Answer::Report { version, is_loading, .. })) => {
                self.loading.insert(poll.engine, is_loading);
                if version >= poll.version {
                    self.loading.remove(&poll.engine);
                    self.out.push(Output::Serves(poll.engine, version));
                    let time = poll.watch.load_time(ms(now)).filter(|_| poll.is_accepted);
                    self.load_time = time.or(self.load_time);
                } else if is_loading {
                    poll.watch.on_loading(ms(now), ms(now + POLL_PERIOD));
                    self.later(POLL_PERIOD, Event::Poll(poll));
                } else {
                    self.loading.remove(&poll.engine);
                }
            }
            (Pending::Poll(poll), _) => self.later(POLL_PERIOD, Event::Poll(poll)),
            _ => {}
        }
    }

    fn begin_poll(
        &mut self,
        now: u64,
        (engine, version): (usize, u64),
        ordered_at: u64,
        is_accepted: bool,
    ) {
        let watch = LoadWatch::new(ms(ordered_at), ms(now), self.load_time);
        let delay = watch.next_poll_at().saturating_sub(ms(now));
        let until = ms(now) + delay + self.tenure.options().load_time_max;
        let poll = Poll { engine, version, until, watch, is_accepted };
        self.out.push(Output::Later(delay, Event::Poll(poll)));
    }

    pub(super) fn poll(&mut self, now: u64, poll: Poll) {
        if ms(now) < poll.until {
            self.out.push(Output::Engine(poll.engine, engine::Call::Report, Pending::Poll(poll)));
        } else {
            self.loading.remove(&poll.engine);
        }
    }
}
