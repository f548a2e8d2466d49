//! Guards against forged datagrams that are accepted: those signed with another key, too short or without a code.

use lw_transport::datagram::Datagrams;
use tokio::net::UdpSocket;

const LOOPBACK: &str = "127.0.0.1:0";

#[tokio::test]
async fn only_messages_with_the_right_key_arrive() {
    let local = LOOPBACK.parse().expect("address");
    let receiver = Datagrams::bind(local, "the key").await.expect("socket");
    let to = receiver.local_addr().expect("address");
    let forger = Datagrams::bind(local, "another key").await.expect("socket");
    forger.send(to, b"forged").await.expect("sent");
    let plain = UdpSocket::bind(LOOPBACK).await.expect("socket");
    plain.send_to(b"short", to).await.expect("sent");
    plain.send_to(&[0; 64], to).await.expect("sent");
    let sender = Datagrams::bind(local, "the key").await.expect("socket");
    sender.send(to, b"genuine").await.expect("sent");
    assert_eq!(&receiver.receive().await.expect("message")[..], b"genuine");
}
