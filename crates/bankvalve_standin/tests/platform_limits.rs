//! The limits that the users' platform puts on answers and writes, as the stand-ins play them.

use bankvalve_queue::{
    EndKind, RowKey, RowWrite, StartOrder, StoreOutcome, StoreRequest, TaskSize, WorkerAnswer,
    WorkerCall, WorkerEntry,
};
use bankvalve_standin::site::{SiteStore, SiteWorker, MAX_ENDS_PER_REPORT};

const TABLE: &str = "rows";

fn write(number: usize, value: Vec<u8>) -> RowWrite {
    RowWrite {
        key: RowKey::new(TABLE, "", format!("{number:06}")),
        value,
    }
}

fn transact(store: &mut SiteStore, writes: Vec<RowWrite>) -> Option<StoreOutcome> {
    store.handle(&StoreRequest::Transact {
        conditions: Vec::new(),
        writes,
        removals: Vec::new(),
    })
}

/// Reads all rows of the table, and returns the number of rows on each page.
fn page_sizes(store: &mut SiteStore) -> Vec<usize> {
    let mut sizes = Vec::new();
    let mut from = String::new();
    loop {
        let request = StoreRequest::Read {
            table: TABLE.into(),
            part: String::new(),
            from,
            limit: None,
        };
        let Some(StoreOutcome::Rows { rows, more, .. }) = store.handle(&request) else {
            panic!("expected rows");
        };
        sizes.push(rows.len());
        match rows.last().filter(|_| more) {
            Some(last) => from = format!("{}!", last.key.key),
            None => return sizes,
        }
    }
}

#[test]
fn a_page_has_at_most_500_rows() {
    let mut store = SiteStore::default();
    for number in 0..1_200 {
        transact(&mut store, vec![write(number, vec![1])]);
    }
    assert_eq!(page_sizes(&mut store), [500, 500, 200]);
}

#[test]
fn a_page_has_at_most_a_megabyte() {
    let mut store = SiteStore::default();
    for number in 0..40 {
        transact(&mut store, vec![write(number, vec![1; 60_000])]);
    }
    assert_eq!(page_sizes(&mut store), [12, 12, 12, 4]);
}

#[test]
fn a_transaction_beyond_the_limits_does_nothing() {
    let mut store = SiteStore::default();
    let many = (0..101).map(|number| write(number, vec![1])).collect();
    let large = (0..13)
        .map(|number| write(number, vec![1; 60_000]))
        .collect();
    let long_key = RowWrite {
        key: RowKey::new(TABLE, "", "k".repeat(201)),
        value: Vec::new(),
    };
    let wide = vec![write(1, vec![1; 64 * 1024 + 1])];
    for writes in [many, large, vec![long_key], wide] {
        assert_eq!(transact(&mut store, writes), Some(StoreOutcome::Busy));
    }
    assert_eq!(store.count_rows(TABLE), 0);
}

#[test]
fn a_worker_reports_at_most_500_ends_oldest_first() {
    let mut worker = SiteWorker::new("w-1".into(), WorkerEntry::default(), 0, 6_000);
    let count = MAX_ENDS_PER_REPORT as u32 + 200;
    let plan = |_| (TaskSize::default(), Some((1, EndKind::Done)));
    for index in 0..count {
        let order = StartOrder {
            task: format!("0000000000000007.0.0.{index}")
                .parse()
                .expect("a task"),
            run: 1,
            job: Default::default(),
            saved: String::new(),
            permit: None,
            until_ms: 5_000,
            process: None,
        };
        worker.handle(0, 1, &WorkerCall::Start(Box::new(order)), None, plan);
    }
    let mut numbers = Vec::new();
    for _ in 0..2 {
        let poll = WorkerCall::Hold {
            until_ms: None,
            kept: numbers.last().copied().unwrap_or(0),
            connection: None,
            wait_ms: 0,
        };
        let WorkerAnswer::Done {
            report: Some(report),
            ..
        } = worker.handle(10, 1, &poll, None, plan)
        else {
            panic!("expected run lists");
        };
        assert!(report.ended.len() <= MAX_ENDS_PER_REPORT);
        numbers.extend(report.ended.iter().map(|end| end.number));
    }
    assert!(numbers.into_iter().eq(1..=u64::from(count)));
}
