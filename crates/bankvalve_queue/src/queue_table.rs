//! The configuration in force: which queue a request is for, and the rules of the queues and customers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::customer::{CustomerName, CustomerRule, KeyDigest};
use crate::job::JobTerms;

/// Longest time that an answer of the policy service is expected to take, in milliseconds. A configuration
/// may contain any number.
const MAX_ADVICE_MS: f64 = 86_400_000.0;

/// Timing of the policy service that decides which workers may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceRule {
    /// Fixed part of the time that an answer takes, in milliseconds.
    pub decide_ms: f64,
    /// Additional time for each worker in the request, in milliseconds.
    pub each_ms: f64,
    /// Time for which a permit is valid, in milliseconds.
    pub valid_ms: u64,
}

impl AdviceRule {
    /// Returns the time that an answer about a number of workers takes.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::AdviceRule;
    ///
    /// let rule = AdviceRule { decide_ms: 10.0, each_ms: 0.5, valid_ms: 2_000 };
    /// assert_eq!(rule.time_for(20).as_millis(), 20);
    /// ```
    pub fn time_for(&self, workers: usize) -> Duration {
        let millis = self.decide_ms + self.each_ms * workers as f64;
        Duration::from_secs_f64(millis.clamp(0.0, MAX_ADVICE_MS) / 1_000.0)
    }
}

/// A queue and its rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Name.
    pub name: String,
    /// Host in the requests for this queue.
    pub host: String,
    /// Prefix of the path in these requests.
    pub prefix: String,
    /// Whether requests need a customer's key. Without it, the queue is public.
    pub keyed: bool,
    /// Terms for the queue's jobs.
    pub terms: JobTerms,
}

/// The complete configuration of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    queues: BTreeMap<String, QueueRule>,
    guarded: BTreeMap<String, bool>,
    by_host: BTreeMap<String, Vec<String>>,
    customers: BTreeMap<CustomerName, CustomerRule>,
    // Each process uses its own random hash key, so the time of a lookup reveals nothing about a customer's
    // key.
    by_key: HashMap<KeyDigest, CustomerName>,
}

impl QueueTable {
    /// Creates a configuration without customers. `guarded` holds for each service whether its workers refuse
    /// tasks that do not fit.
    pub fn new(version: u64, rules: Vec<QueueRule>, guarded: BTreeMap<String, bool>) -> Self {
        let mut by_host: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut queues = BTreeMap::new();
        for mut rule in rules {
            rule.terms.table_version = version;
            by_host
                .entry(rule.host.clone())
                .or_default()
                .push(rule.name.clone());
            queues.insert(rule.name.clone(), rule);
        }
        Self {
            version,
            queues,
            guarded,
            by_host,
            ..Self::default()
        }
    }

    /// Adds customers to the configuration.
    #[must_use]
    pub fn with_customers(mut self, customers: Vec<CustomerRule>) -> Self {
        for rule in customers {
            let keys = rule.keys.iter();
            self.by_key
                .extend(keys.map(|key| (*key, rule.name.clone())));
            self.customers.insert(rule.name.clone(), rule);
        }
        self
    }

    /// Returns the customer with a name.
    pub fn customer(&self, name: &str) -> Option<&CustomerRule> {
        self.customers.get(name)
    }

    /// Iterates over all customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerRule> {
        self.customers.values()
    }

    /// Returns the name of the customer that a key belongs to.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::{CustomerRule, KeyDigest, QueueTable};
    ///
    /// let key = KeyDigest::new([7; 32]);
    /// let rule = CustomerRule { name: "north".into(), keys: vec![key], ..Default::default() };
    /// let table = QueueTable::default().with_customers(vec![rule]);
    /// assert_eq!(table.customer_of(&key).map(|name| &**name), Some("north"));
    /// assert!(table.customer_of(&KeyDigest::new([8; 32])).is_none());
    /// ```
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&CustomerName> {
        self.by_key.get(key)
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&QueueRule> {
        self.queues.get(name)
    }

    /// Iterates over all queues.
    pub fn queues(&self) -> impl Iterator<Item = &QueueRule> {
        self.queues.values()
    }

    /// Returns whether a queue's priority comes after the first, 0, and before another queue's.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use bankvalve_queue::{JobTerms, QueueRule, QueueTable};
    ///
    /// let table = |priorities: &[u32]| {
    ///     let rule = |priority: &u32| QueueRule {
    ///         name: priority.to_string(),
    ///         terms: JobTerms { priority: *priority, ..Default::default() },
    ///         ..Default::default()
    ///     };
    ///     QueueTable::new(1, priorities.iter().map(rule).collect(), BTreeMap::new())
    /// };
    /// assert!(!table(&[0, 1]).has_intermediate_priority());
    /// assert!(table(&[0, 1, 2]).has_intermediate_priority());
    /// assert!(table(&[1, 2]).has_intermediate_priority());
    /// ```
    pub fn has_intermediate_priority(&self) -> bool {
        let priorities = self.queues.values().map(|rule| rule.terms.priority);
        let later = priorities.filter(|priority| *priority > 0);
        let range = later.clone().min().zip(later.max());
        range.is_some_and(|(least, most)| least < most)
    }

    /// Finds the queue on a host with the longest prefix of a path.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use bankvalve_queue::{QueueRule, QueueTable};
    ///
    /// let rule = |name: &str, prefix: &str| QueueRule {
    ///     name: name.into(),
    ///     host: "h".into(),
    ///     prefix: prefix.into(),
    ///     ..Default::default()
    /// };
    /// let rules = vec![rule("short", "/a/"), rule("long", "/a/b/")];
    /// let table = QueueTable::new(1, rules, BTreeMap::new());
    /// assert_eq!(table.find("h", "/a/b/1").unwrap().name, "long");
    /// assert!(table.find("other", "/a/b/1").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&QueueRule> {
        let names = self.by_host.get(host)?;
        names
            .iter()
            .filter_map(|name| self.queues.get(name))
            .filter(|rule| path.starts_with(&rule.prefix))
            .max_by_key(|rule| rule.prefix.len())
    }
}
