//! Amounts in the fixed form that decisions compute with.

use marigoldpick_core::prelude::*;

/// The most kinds of accelerators in one shard.
pub const KINDS: usize = 6;

/// `Size` is an [`Amount`] with the kinds of accelerators numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size {
    /// Processor time in thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators by the number of their kind.
    pub accelerators: [u32; KINDS],
}

impl Size {
    /// Tells whether `other` fits into this size.
    #[must_use]
    pub fn holds(&self, other: &Self) -> bool {
        other.millicores <= self.millicores
            && other.memory <= self.memory
            && (0..KINDS).all(|k| other.accelerators[k] <= self.accelerators[k])
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        self.millicores += other.millicores;
        self.memory += other.memory;
        for k in 0..KINDS {
            self.accelerators[k] += other.accelerators[k];
        }
        self
    }

    /// Returns the difference; what is missing counts as zero.
    #[must_use]
    pub fn minus(mut self, other: &Self) -> Self {
        self.millicores = self.millicores.saturating_sub(other.millicores);
        self.memory = self.memory.saturating_sub(other.memory);
        for k in 0..KINDS {
            self.accelerators[k] = self.accelerators[k].saturating_sub(other.accelerators[k]);
        }
        self
    }

    /// Returns the larger of each part.
    #[must_use]
    pub fn max(mut self, other: &Self) -> Self {
        self.millicores = self.millicores.max(other.millicores);
        self.memory = self.memory.max(other.memory);
        for k in 0..KINDS {
            self.accelerators[k] = self.accelerators[k].max(other.accelerators[k]);
        }
        self
    }

    /// Returns this size divided by `parts`, accelerators rounded up.
    #[must_use]
    pub fn part(mut self, parts: u32) -> Self {
        self.millicores /= u64::from(parts);
        self.memory /= u64::from(parts);
        for accelerators in &mut self.accelerators {
            *accelerators = accelerators.div_ceil(parts);
        }
        self
    }

    /// Returns how many times `other` fits into this size, at most `most`.
    #[must_use]
    pub fn fits(&self, other: &Self, most: u32) -> u32 {
        let mut count = u64::from(most);
        if let Some(n) = self.millicores.checked_div(other.millicores) {
            count = count.min(n);
        }
        if let Some(n) = self.memory.checked_div(other.memory) {
            count = count.min(n);
        }
        for k in 0..KINDS {
            if let Some(n) = self.accelerators[k].checked_div(other.accelerators[k]) {
                count = count.min(u64::from(n));
            }
        }
        u32::try_from(count).unwrap_or(most)
    }

    /// Returns the count of accelerators of all kinds.
    #[must_use]
    pub fn accelerator_sum(&self) -> u32 {
        self.accelerators.iter().sum()
    }

    /// Returns the largest share that this size takes of any part of `whole`.
    #[must_use]
    pub fn dominant(&self, whole: &Self) -> f64 {
        let mut most = ratio(self.millicores, whole.millicores);
        most = most.max(ratio(self.memory, whole.memory));
        for k in 0..KINDS {
            let share = ratio(
                u64::from(self.accelerators[k]),
                u64::from(whole.accelerators[k]),
            );
            most = most.max(share);
        }
        most
    }
}

/// Returns `part / whole`; zero when nothing is asked for, infinite when there is no whole.
#[expect(
    clippy::cast_precision_loss,
    reason = "shares need no more than 52 bits"
)]
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    if part == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// `Kinds` numbers the kinds of accelerators of a shard.
#[derive(Clone, Debug, Default)]
pub struct Kinds(Vec<Name>);

impl Kinds {
    /// Converts what a worker has; kinds beyond [`KINDS`] are left unused.
    pub fn learn(&mut self, amount: &Amount) -> Size {
        for accelerators in &amount.accelerators {
            if !self.0.contains(&accelerators.kind) && self.0.len() < KINDS {
                self.0.push(accelerators.kind.clone());
            }
        }
        self.known(amount)
    }

    /// Converts an amount without its accelerators of unknown kinds.
    #[must_use]
    pub fn known(&self, amount: &Amount) -> Size {
        let mut size = plain(amount);
        for a in &amount.accelerators {
            if let Some(k) = self.position(&a.kind) {
                size.accelerators[k] = a.count;
            }
        }
        size
    }

    /// Converts what a task needs.
    ///
    /// # Errors
    /// Returns the kind of accelerator that no worker has.
    pub fn convert(&self, amount: &Amount) -> Result<Size, Name> {
        let mut size = plain(amount);
        for a in &amount.accelerators {
            let k = self.position(&a.kind).ok_or_else(|| a.kind.clone())?;
            size.accelerators[k] = a.count;
        }
        Ok(size)
    }

    /// Converts back.
    #[must_use]
    pub fn amount(&self, size: &Size) -> Amount {
        let amount = Amount::new(size.millicores, size.memory);
        self.0.iter().enumerate().fold(amount, |sum, (k, kind)| {
            sum.with(kind.clone(), size.accelerators[k])
        })
    }

    /// Returns the kind with a number.
    #[must_use]
    pub fn name(&self, k: usize) -> Option<&Name> {
        self.0.get(k)
    }

    fn position(&self, kind: &Name) -> Option<usize> {
        self.0.iter().position(|have| have == kind)
    }
}

fn plain(amount: &Amount) -> Size {
    Size {
        millicores: amount.millicores,
        memory: amount.memory_mib,
        ..Size::default()
    }
}
