//! Provides resource vectors of fixed length, which the scheduler computes with.

use marigoldpick_core::prelude::*;

/// Maximum number of accelerator kinds in one shard.
pub const MAX_ACCELERATOR_KINDS: usize = 6;

/// `Size` is an [`Amount`] as a vector with numbered accelerator kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size {
    /// Processor time in thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Number of accelerators, indexed by the number of their kind.
    pub accelerators: [u32; MAX_ACCELERATOR_KINDS],
}

impl Size {
    /// Returns whether `other` fits into this size.
    #[must_use]
    pub fn can_hold(&self, other: &Self) -> bool {
        other.millicores <= self.millicores
            && other.memory <= self.memory
            && (0..MAX_ACCELERATOR_KINDS).all(|k| other.accelerators[k] <= self.accelerators[k])
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        self.millicores += other.millicores;
        self.memory += other.memory;
        for k in 0..MAX_ACCELERATOR_KINDS {
            self.accelerators[k] += other.accelerators[k];
        }
        self
    }

    /// Returns the difference, saturating at zero in each resource.
    #[must_use]
    pub fn minus(mut self, other: &Self) -> Self {
        self.millicores = self.millicores.saturating_sub(other.millicores);
        self.memory = self.memory.saturating_sub(other.memory);
        for k in 0..MAX_ACCELERATOR_KINDS {
            self.accelerators[k] = self.accelerators[k].saturating_sub(other.accelerators[k]);
        }
        self
    }

    /// Returns the maximum in each resource.
    #[must_use]
    pub fn max(mut self, other: &Self) -> Self {
        self.millicores = self.millicores.max(other.millicores);
        self.memory = self.memory.max(other.memory);
        for k in 0..MAX_ACCELERATOR_KINDS {
            self.accelerators[k] = self.accelerators[k].max(other.accelerators[k]);
        }
        self
    }

    /// Returns this size divided by `parts`, with accelerators rounded up.
    #[must_use]
    pub fn divided_by(mut self, parts: u32) -> Self {
        self.millicores /= u64::from(parts);
        self.memory /= u64::from(parts);
        for accelerators in &mut self.accelerators {
            *accelerators = accelerators.div_ceil(parts);
        }
        self
    }

    /// Returns how many times `other` fits into this size, at most `max`.
    #[must_use]
    pub fn count_fitting(&self, other: &Self, max: u32) -> u32 {
        let mut count = u64::from(max);
        if let Some(n) = self.millicores.checked_div(other.millicores) {
            count = count.min(n);
        }
        if let Some(n) = self.memory.checked_div(other.memory) {
            count = count.min(n);
        }
        for k in 0..MAX_ACCELERATOR_KINDS {
            if let Some(n) = self.accelerators[k].checked_div(other.accelerators[k]) {
                count = count.min(u64::from(n));
            }
        }
        u32::try_from(count).unwrap_or(max)
    }

    /// Returns the number of accelerators of all kinds.
    #[must_use]
    pub fn accelerator_count(&self) -> u32 {
        self.accelerators.iter().sum()
    }

    /// Returns the largest share of this size in any resource of `whole`.
    #[must_use]
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let mut most = ratio(self.millicores, whole.millicores);
        most = most.max(ratio(self.memory, whole.memory));
        for k in 0..MAX_ACCELERATOR_KINDS {
            let share = ratio(
                u64::from(self.accelerators[k]),
                u64::from(whole.accelerators[k]),
            );
            most = most.max(share);
        }
        most
    }
}

/// Returns `part / whole`: 0 if `part` is 0, otherwise infinite if `whole` is 0.
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

/// `AcceleratorKinds` numbers the accelerator kinds of a shard.
#[derive(Clone, Debug, Default)]
pub struct AcceleratorKinds(Vec<Name>);

impl AcceleratorKinds {
    /// Converts the size of a worker or of a run on it, and adds its accelerator kinds.
    ///
    /// Kinds beyond [`MAX_ACCELERATOR_KINDS`] are left unused.
    pub fn register(&mut self, amount: &Amount) -> Size {
        for accelerators in &amount.accelerators {
            if !self.0.contains(&accelerators.kind) && self.0.len() < MAX_ACCELERATOR_KINDS {
                self.0.push(accelerators.kind.clone());
            }
        }
        self.size_of_known(amount)
    }

    /// Converts an amount, ignoring accelerators of unknown kinds.
    #[must_use]
    pub fn size_of_known(&self, amount: &Amount) -> Size {
        let mut size = without_accelerators(amount);
        for a in &amount.accelerators {
            if let Some(k) = self.position(&a.kind) {
                size.accelerators[k] = a.count;
            }
        }
        size
    }

    /// Converts the needs of a task.
    ///
    /// # Errors
    /// Returns the accelerator kind that no worker has.
    pub fn to_size(&self, amount: &Amount) -> Result<Size, Name> {
        let mut size = without_accelerators(amount);
        for a in &amount.accelerators {
            let k = self.position(&a.kind).ok_or_else(|| a.kind.clone())?;
            size.accelerators[k] = a.count;
        }
        Ok(size)
    }

    /// Converts a size back to an amount.
    #[must_use]
    pub fn to_amount(&self, size: &Size) -> Amount {
        let amount = Amount::new(size.millicores, size.memory);
        self.0.iter().enumerate().fold(amount, |sum, (k, kind)| {
            sum.with(kind.clone(), size.accelerators[k])
        })
    }

    /// Returns the accelerator kind with the number `k`.
    #[must_use]
    pub fn name(&self, k: usize) -> Option<&Name> {
        self.0.get(k)
    }

    fn position(&self, kind: &Name) -> Option<usize> {
        self.0.iter().position(|have| have == kind)
    }
}

fn without_accelerators(amount: &Amount) -> Size {
    Size {
        millicores: amount.millicores,
        memory: amount.memory_mib,
        ..Size::default()
    }
}
