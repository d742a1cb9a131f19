//! Refuses requests for which there is no memory, before their body is read.

use compact_str::CompactString;
use shallothub_core::{bytes, clock, id, traffic::event, traffic::why, view};
use shallothub_wire::{content, protocol};

use super::Shell;

/// A request that is refused for lack of memory.
#[derive(Debug)]
pub(super) struct Overload {
    /// The class of the request; empty if none is known.
    pub(super) class: CompactString,
    /// Time after which the caller may return.
    pub(super) retry_after: clock::Millis,
}

impl Overload {
    /// The answer to the caller, in the form of the core's own refusals.
    pub(super) fn answer(self) -> protocol::Answer {
        let core = event::Answer {
            caller: id::Caller(0),
            query: None,
            class: self.class,
            outcome: event::Outcome::NotRun,
            code: event::Code::Overloaded,
            why: why::Why::CodeOnly,
            lateness: None,
            snapshot: None,
            contributed: Vec::new(),
            missing: Vec::new(),
            shape: view::Shape::default(),
            failure: None,
            via: None,
            retry_after: Some(self.retry_after),
            cost: event::Cost::default(),
        };
        protocol::Answer { core, content: content::Content::Empty, name: None }
    }
}

impl Shell {
    /// Whether more is held than the mark; never without a bound on memory.
    pub(super) fn is_memory_short(&self) -> bool {
        self.shared.memory.as_ref().is_some_and(|memory| memory.is_above_mark())
    }

    /// Whether there is memory for a request to `destination` with a body of up to `announced` bytes.
    pub(super) fn check_memory(&self, destination: &protocol::Destination, announced: usize) -> Result<(), Overload> {
        let Some(memory) = self.shared.memory.as_ref() else {
            return Ok(());
        };
        let class = self.class(destination);
        let priority = self.state.borrow().core.view().classes.get(&class).map(|class| class.priority);
        match memory.decide(priority, bytes::Size::of(announced), self.now()) {
            bytes::Decision::Read => Ok(()),
            bytes::Decision::Refuse { retry_after } => Err(Overload { class, retry_after }),
        }
    }
}
