//! Requests of callers through real entries to endpoints with all kinds of failures.

mod traffic {
    mod answers;
    mod callers;
    mod endpoint;
    mod once;
    mod site;
    mod slots;
}
