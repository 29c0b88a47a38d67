//! Tests of `peers`.

use super::*;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::schedule::schedule;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Sends twenty packets from balancer 0 to balancer 1 while this fault is on; gives what arrived, and from where.
async fn arrived(fault: &str) -> (Vec<Vec<u8>>, bool) {
    let text = format!(
        "name = \"t\"\nseconds = 5\n[fleet]\nbalancers = 2\nhosts = 1\n[load]\nrate = 1\nkeys = 1\n\
         [[fault]]\nat = 0\nbetween = [\"balancers:0\", \"balancers:1\"]\n{fault}"
    );
    let e = read(&text, &[]).unwrap();
    let mut links = schedule(&e).links;
    links.set_active(0, true);
    let relay = Relay::new(Rig::new(e, links), 2).await.unwrap();
    let [a, b] = [0, 1].map(|_| std::net::UdpSocket::bind("127.0.0.1:0").unwrap());
    [&a, &b].into_iter().for_each(|socket| socket.set_nonblocking(true).unwrap());
    let (a, b) = (UdpSocket::from_std(a).unwrap(), UdpSocket::from_std(b).unwrap());
    relay.is_at(0, a.local_addr().unwrap());
    relay.is_at(1, b.local_addr().unwrap());
    for n in 0..20u8 {
        a.send_to(&[n; 9], relay.address(1).unwrap()).await.unwrap();
    }
    let (mut all, mut known) = (Vec::new(), true);
    let mut packet = [0; 64];
    while let Ok(Ok((length, from))) = timeout(Duration::from_millis(300), b.recv_from(&mut packet)).await {
        all.push(packet[..length].to_vec());
        known &= from == relay.address(0).unwrap();
    }
    assert_eq!(relay.sent()[0], Sent { packets: 20, bytes: 180 });
    (all, known)
}

#[test]
fn packets_come_from_the_address_their_sender_is_known_by_and_faults_apply() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let sound: Vec<Vec<u8>> = (0..20).map(|n| vec![n; 9]).collect();
        assert_eq!(arrived("what = \"delay\"\nms = 1\n").await, (sound.clone(), true));
        assert_eq!(arrived("what = \"cut\"\n").await.0, [[0; 0]; 0]);
        assert_eq!(arrived("what = \"lose\"\nshare = 1.0\n").await.0.len(), 0);
        assert_eq!(arrived("what = \"repeat\"\nshare = 1.0\n").await.0.len(), 40);
        let corrupted = arrived("what = \"spoil\"\nshare = 1.0\n").await.0;
        assert!(corrupted.len() == 20 && corrupted != sound);
        let mut disorder = arrived("what = \"reorder\"\nshare = 0.5\n").await.0;
        assert_ne!(disorder, sound);
        disorder.sort();
        assert_eq!(disorder, sound);
        let back = "what = \"cut\"\ndirection = \"one-way\"\n".replace("balancers:0", "");
        assert_eq!(arrived(&back).await.0.len(), 0, "one way is this way");
    });
}
