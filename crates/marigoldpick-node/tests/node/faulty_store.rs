//! The store of the test cluster's nodes, with faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::store;
use marigoldpick_node::keys;
use marigoldpick_platform::Store;

/// The timeout of a watch on a silent connection, beyond its wait.
const SILENT_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// `FaultyStore` is a store client with faults: no answers, lost answers, or answers to watches only.
#[derive(Clone, Debug)]
pub struct FaultyStore {
    pub store: Store,
    pub silent: Arc<AtomicBool>,
    /// The number of next writes that are carried out but not answered.
    pub lost_answers: Arc<AtomicUsize>,
    /// Whether only watches are answered.
    pub only_watches: Arc<AtomicBool>,
    /// Whether all calls fail without an answer.
    pub is_down: Arc<AtomicBool>,
    /// Whether reads of large pages get no answer in time.
    pub is_slow: Arc<AtomicBool>,
    /// How long answers to reads of large pages take after they were made, in milliseconds.
    pub page_delay_ms: Arc<AtomicU64>,
    /// The number of next watches of what a lead reads that are answered without the history.
    pub lost_histories: Arc<AtomicUsize>,
    /// The number of reads of large pages since the last claim to the lead.
    pub page_reads: Arc<AtomicUsize>,
    /// How often the connections on which watches wait have gone silent; later calls use new ones.
    pub silenced_watches: Arc<AtomicUsize>,
    /// One more than the number of the entry whose address is read wrong, so that no call to it arrives; zero for none.
    pub cut_entry: Arc<AtomicUsize>,
    pub faults: Arc<LeadFaults>,
}

/// `LeadFaults` are the faults by which other entries don't hear from the lead, though it works.
#[derive(Debug, Default)]
pub struct LeadFaults {
    /// Whether entries read wrong addresses of each other, so that no call between them arrives.
    pub hides_addresses: AtomicBool,
    /// Whether checks of the store take longer than the timeout of a ping.
    pub slows_checks: AtomicBool,
}

impl LeadFaults {
    /// Replaces the addresses in the values of the keys of the lead and the entries.
    ///
    /// `cut` is [`FaultyStore::cut_entry`].
    fn apply(&self, answer: &mut store::Answer, cut: usize) {
        const MARK: &str = "\"address\":\"";
        let hides_all = self.hides_addresses.load(Ordering::SeqCst);
        if !hides_all && cut == 0 {
            return;
        }
        let cut_entry = format!("\"entry\":\"e{}\"", cut.wrapping_sub(1));
        let items: Vec<&mut store::Item> = match answer {
            store::Answer::Page { items, .. } => items.iter_mut().collect(),
            store::Answer::Changes { changes, .. } => {
                let written = changes.iter_mut().filter_map(|change| match change {
                    store::Change::Written(item) => Some(item),
                    store::Change::Removed { .. } => None,
                });
                written.collect()
            }
            _ => Vec::new(),
        };
        let has_address =
            |item: &store::Item| item.key == keys::LEAD || item.key.starts_with(keys::ENTRIES);
        let is_hidden = |item: &store::Item| hides_all || item.value.contains(&cut_entry);
        for item in items
            .into_iter()
            .filter(|item| has_address(item) && is_hidden(item))
        {
            let from = item.value.find(MARK).expect("an address") + MARK.len();
            let length = item.value[from..].find('"').expect("an end");
            item.value.replace_range(from..from + length, "127.0.0.1:1");
        }
    }
}

impl store::Store for FaultyStore {
    async fn call(&self, call: store::Call) -> Result<store::Answer, store::Fault> {
        if self.silent.load(Ordering::SeqCst) {
            return std::future::pending().await;
        }
        let is_watch = matches!(call, store::Call::Follow { .. });
        let is_down = self.is_down.load(Ordering::SeqCst);
        if is_down || (!is_watch && self.only_watches.load(Ordering::SeqCst)) {
            task::sleep(Duration::from_millis(400)).await;
            return Err(store::Fault::Unknown);
        }
        if matches!(call, store::Call::Range { large: true, .. })
            && self.is_slow.load(Ordering::SeqCst)
        {
            task::sleep(Duration::from_millis(400)).await;
            return Err(store::Fault::Unknown);
        }
        let is_write = matches!(call, store::Call::Commit { .. });
        let is_large = matches!(call, store::Call::Range { large: true, .. });
        let decrement = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        if matches!(&call, store::Call::Follow { prefix, .. } if prefix != keys::LEAD)
            && self
                .lost_histories
                .fetch_update(order, order, decrement)
                .is_ok()
        {
            return Ok(store::Answer::Compacted);
        }
        if is_large {
            self.page_reads.fetch_add(1, order);
        }
        let is_check = matches!(call, store::Call::Range { stale: true, ref prefix, .. } if prefix == keys::LEAD);
        if is_check && self.faults.slows_checks.load(order) {
            task::sleep(Duration::from_millis(400)).await;
        }
        let is_claim = matches!(&call, store::Call::Commit { puts, .. } if puts.iter().any(|put| put.key == keys::LEAD));
        if is_claim {
            self.page_reads.store(0, order);
        }
        let watch_wait = match &call {
            store::Call::Follow { wait, .. } => Some(*wait),
            _ => None,
        };
        let silenced = self.silenced_watches.load(order);
        let began = Instant::now();
        let mut answer = self.store.call(call).await;
        if let Some(wait) = watch_wait
            && self.silenced_watches.load(order) != silenced
        {
            let limit = wait.duration() + SILENT_CALL_TIMEOUT;
            task::sleep(limit.saturating_sub(began.elapsed())).await;
            return Err(store::Fault::Unknown);
        }
        if let Ok(answer) = &mut answer {
            self.faults.apply(answer, self.cut_entry.load(order));
        }
        if is_large {
            let delay = self.page_delay_ms.load(order);
            task::sleep(Duration::from_millis(delay)).await;
        }
        if is_write
            && self
                .lost_answers
                .fetch_update(order, order, decrement)
                .is_ok()
        {
            task::sleep(Duration::from_millis(800)).await;
            return Err(store::Fault::Unknown);
        }
        answer
    }
}
