//! The store in a world: writes of operators and calls of instances.

use fleet::{Answer, Call, Request};
use wire::Revision;

use crate::{World, queue::Item};

impl World {
    /// Applies a catalogue change, as the operators' tool does.
    pub fn apply(&mut self, changes: &[(&str, Option<&[u8]>)]) -> Revision {
        self.apply_as(1, 0, changes)
    }

    /// Applies a catalogue change with the given format and epoch.
    pub fn apply_as(
        &mut self,
        format: u16,
        epoch: u32,
        changes: &[(&str, Option<&[u8]>)],
    ) -> Revision {
        let number = self.store.apply(format, epoch, changes);
        let revision = Revision { epoch, number };
        let values = self.store.values().iter();
        let catalog = values
            .filter(|(key, _)| key.starts_with("catalog/"))
            .map(|(key, (_, value))| (key.clone(), value.clone()));
        if self.slots.len() <= 100 {
            self.monitor.note_write(revision, catalog.collect());
        }
        self.notify_watches(number);
        revision
    }

    /// Writes keys outside the catalogue, such as a primary's record.
    pub fn write(&mut self, changes: &[(&str, Option<&[u8]>)]) -> u64 {
        let number = self.store.write(changes);
        self.notify_watches(number);
        number
    }

    /// Makes the store fail all calls, or answer again.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
        if !down {
            return;
        }
        for ((slot, call), generation) in std::mem::take(&mut self.watches) {
            self.queue_store_answer(slot, generation, call, Answer::Down);
        }
    }

    pub(crate) fn serve_store(
        &mut self,
        slot: usize,
        generation: u32,
        call: Call,
        request: Request,
    ) {
        if self.slots[slot].partition != self.store_partition {
            return;
        }
        self.store.calls += 1;
        if self.store_down {
            self.queue_store_answer(slot, generation, call, Answer::Down);
            return;
        }
        match request {
            Request::Range => {
                let answer = self.store.range();
                self.queue_store_answer(slot, generation, call, answer);
            }
            Request::Head => {
                let answer = self.store.head();
                self.queue_store_answer(slot, generation, call, answer);
            }
            Request::Unwatch => {
                self.watches.remove(&(slot, call));
            }
            Request::Watch { from } => {
                self.watches.insert((slot, call), generation);
                // All answers have one delay: a stream keeps their order.
                let delay = self.store_delay(slot);
                for answer in self.store.watch(from) {
                    self.queue_in(delay, Item::Store(slot, generation, call, answer));
                }
            }
        }
    }

    fn notify_watches(&mut self, revision: u64) {
        if self.store_down {
            return;
        }
        let watches: Vec<_> = self.watches.iter().map(|(key, at)| (*key, *at)).collect();
        for ((slot, call), generation) in watches {
            if self.slots[slot].partition != self.store_partition {
                continue;
            }
            self.store.calls += 1;
            let answers: Vec<_> = self.store.changes_from(revision).collect();
            for answer in answers {
                self.queue_store_answer(slot, generation, call, answer);
            }
        }
    }

    fn queue_store_answer(&mut self, slot: usize, generation: u32, call: Call, answer: Answer) {
        let delay = self.store_delay(slot);
        self.queue_in(delay, Item::Store(slot, generation, call, answer));
    }
}
