//! Callers' requests through real entries to endpoints that fail in every way.

mod traffic {
    mod answers;
    mod callers;
    mod endpoint;
    mod once;
    mod site;
    mod slots;
}
