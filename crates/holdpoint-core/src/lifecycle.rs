//! Lifecycle of one instance, as a state machine.
//!
//! starting → ready ⇄ isolated, then draining → stopped. Only a ready instance accepts new work.

// The state machine macro generates public items without docs.
#![allow(missing_docs)]

use holdpoint_schema::peer::Phase;
use statig::prelude::*;

use crate::ids::Millis;

/// An event that may change the phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head of the log was confirmed, by the log itself or by a confirmed peer.
    Confirmed {
        /// When.
        now: Millis,
    },
    /// Time passed.
    Tick {
        /// Now.
        now: Millis,
    },
    /// A planned stop was requested.
    Stop,
    /// All work in flight ended, or the drain deadline passed.
    Drained,
}

/// Data of the state machine.
#[derive(Debug)]
pub struct LifecycleData {
    confirm_ms: Millis,
    confirmed: Option<Millis>,
    last_tick: Millis,
}

/// The state machine of an instance's lifecycle.
pub struct Lifecycle {
    machine: StateMachine<LifecycleData>,
}

impl Lifecycle {
    /// Makes a starting instance, which may serve for `confirm_ms` milliseconds after each confirmation.
    pub fn new(confirm_ms: Millis) -> Lifecycle {
        let data = LifecycleData { confirm_ms, confirmed: None, last_tick: 0 };
        Lifecycle { machine: data.state_machine() }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// Current phase of the instance.
    pub fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Starting {} => Phase::Starting,
            State::Ready {} => Phase::Ready,
            State::Isolated {} => Phase::Isolated,
            State::Draining {} => Phase::Draining,
            State::Stopped {} => Phase::Stopped,
        }
    }

    /// Time at which the head of the log was last confirmed, if ever.
    pub fn confirmed(&self) -> Option<Millis> {
        self.machine.inner().confirmed
    }
}

impl LifecycleData {
    fn confirm(&mut self, now: Millis) {
        self.confirmed = Some(now);
        self.last_tick = self.last_tick.max(now);
    }

    /// Whether `confirm_ms` passed without confirmation. If the clock jumps by more than that, the process was
    /// paused, which counts as the same.
    fn is_stale(&mut self, now: Millis) -> bool {
        let has_jumped = self.last_tick != 0 && self.last_tick + self.confirm_ms < now;
        self.last_tick = now;
        has_jumped || self.confirmed.is_none_or(|it| it + self.confirm_ms < now)
    }
}

#[state_machine(initial = "State::starting()", state(derive(Debug, PartialEq, Eq)))]
impl LifecycleData {
    #[state]
    fn starting(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Confirmed { now } => {
                self.confirm(*now);
                Transition(State::ready())
            }
            Event::Tick { .. } => Handled,
            Event::Stop | Event::Drained => Transition(State::stopped()),
        }
    }

    #[state]
    fn ready(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Confirmed { now } => {
                self.confirm(*now);
                Handled
            }
            Event::Tick { now } if self.is_stale(*now) => Transition(State::isolated()),
            Event::Tick { .. } | Event::Drained => Handled,
            Event::Stop => Transition(State::draining()),
        }
    }

    #[state]
    fn isolated(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Confirmed { now } => {
                self.confirm(*now);
                Transition(State::ready())
            }
            Event::Tick { .. } | Event::Drained => Handled,
            Event::Stop => Transition(State::draining()),
        }
    }

    #[state]
    fn draining(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Drained => Transition(State::stopped()),
            Event::Confirmed { .. } | Event::Tick { .. } | Event::Stop => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}
