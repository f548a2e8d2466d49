//! Guards against parts of answers that callers of the platform take as complete, and against answers with a status that
//! no caller can use.

use lw_standin::hosted::caller::{KEY, Reply, request, send};

mod faulty_upstream;
mod platform;

use faulty_upstream::{BAD_STATUSES, UPLOAD_BYTES, header};
use platform::SERVICE;

/// Number of uploads: the reset reaches the VM while it reads in some, while it writes in others.
const UPLOADS: u8 = 20;

fn own_headers(head: &str) -> String {
    let id = header(head, "x-attempt-id").unwrap_or_default();
    format!("x-attempt-id: {id}\r\nx-response-seal: {SERVICE}\r\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_answers_do_not_reach_callers() {
    let dir = std::env::temp_dir().join(format!("lw-malformed-platform-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory");
    let service = faulty_upstream::start(own_headers).await;
    let deployment = platform::start(&dir, 0, service).await;
    let callers = deployment.vm.place.callers;
    let mut findings = Vec::new();
    let mut check = |case: String, reply: Option<Reply>, is_sound: fn(&Reply) -> bool| {
        println!("{case}: {:?}", reply.as_ref().map(|r| (r.status, r.is_complete, r.text())));
        // A connection that ends without an answer tells the caller that it has none.
        if reply.is_some_and(|reply| !is_sound(&reply)) {
            findings.push(case);
        }
    };
    for path in ["/book/early", "/look/early"] {
        for n in 0..UPLOADS {
            let mut upload = request(&format!("upload-{n}"), path);
            // Copies of one body would be refused as a request that crashes upstreams.
            upload.body = vec![b'a' + n; UPLOAD_BYTES];
            let reply = send(callers, &upload).await;
            check(format!("{path} {n}"), reply, |reply| reply.status != 200 || !reply.is_complete);
        }
    }
    for status in BAD_STATUSES {
        for path in ["/book", "/look"] {
            let path: &'static str = format!("{path}/{status}").leak();
            let reply = send(callers, &request(&format!("status-{status}"), path)).await;
            check(path.to_owned(), reply, |reply| reply.status == 502);
        }
    }
    let reply = send(callers, &request("sound", "/look/ok")).await.expect("an answer");
    assert_eq!((reply.status, reply.text().as_str()), (200, "ok"), "with {KEY}");
    assert!(findings.is_empty(), "{findings:#?}\nlogs: {}", dir.display());
    std::fs::remove_dir_all(&dir).expect("logs are removed");
}
