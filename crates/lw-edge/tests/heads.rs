//! Guards against heads inside the operators' limits that are refused because of a limit of the HTTP library.

mod common;

use common::{Simulation, bounds, request};
use lw_standin::hosted::caller::{CallerRequest, send};

/// `MaxHeaderBytes` of the stand-in's configuration, less what the other lines of a request take.
const HEAD_BYTES: usize = (16 << 10) - 400;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_within_the_limit_is_served_however_many_fields_it_has() {
    let simulation = Simulation::start_with_settings(bounds(), |settings| settings).await;
    let addr = simulation.vm.as_ref().expect("a VM").edge.settings.callers;
    for (n, field) in ["a:\r\n", "some-name: some-value\r\n", ""].into_iter().enumerate() {
        let headers = match field {
            "" => format!("x-long: {}\r\n", "x".repeat(HEAD_BYTES - 10)),
            field => field.repeat(HEAD_BYTES / field.len()),
        };
        let request = CallerRequest { headers, ..request(&format!("fields-{n}"), "/look/x") };
        let reply = send(addr, &request).await.expect("an answer");
        assert!(reply.status == 200 && reply.is_complete, "{field:?}: {}", reply.head);
    }
}
