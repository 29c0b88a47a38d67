//! Tests of the relay with each link fault.

use super::*;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::schedule::compile_schedule;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Sends twenty packets from balancer 0 to balancer 1 with this fault active. Returns the packets that arrived, and whether
/// all came from the relay's address of balancer 0.
async fn relay_packets(fault: &str) -> (Vec<Vec<u8>>, bool) {
    let text = format!(
        "name = \"t\"\nseconds = 5\n[fleet]\nbalancers = 2\nhosts = 1\n[load]\nrate = 1\nkeys = 1\n\
         [[fault]]\nat = 0\nbetween = [\"balancers:0\", \"balancers:1\"]\n{fault}"
    );
    let experiment = read(&text, &[]).unwrap();
    let mut links = compile_schedule(&experiment).links;
    links.set_active(0, true);
    let relay = PeerRelay::new(Testbed::new(experiment, links), 2).await.unwrap();
    let [sender, receiver] = [0, 1].map(|_| std::net::UdpSocket::bind("127.0.0.1:0").unwrap());
    [&sender, &receiver].into_iter().for_each(|socket| socket.set_nonblocking(true).unwrap());
    let (sender, receiver) = (UdpSocket::from_std(sender).unwrap(), UdpSocket::from_std(receiver).unwrap());
    relay.set_real_address(0, sender.local_addr().unwrap());
    relay.set_real_address(1, receiver.local_addr().unwrap());
    for number in 0..20u8 {
        sender.send_to(&[number; 9], relay.address(1).unwrap()).await.unwrap();
    }
    let (mut packets, mut is_from_relay_address) = (Vec::new(), true);
    let mut packet = [0; 64];
    while let Ok(Ok((length, from))) =
        timeout(Duration::from_millis(300), receiver.recv_from(&mut packet)).await
    {
        packets.push(packet[..length].to_vec());
        is_from_relay_address &= from == relay.address(0).unwrap();
    }
    assert_eq!(relay.sent.borrow()[0], SentTraffic { packets: 20, bytes: 180 });
    (packets, is_from_relay_address)
}

/// Guards against a relay that forwards from another address than the one by which peers know the sender, or that does not
/// apply a fault.
#[test]
fn packets_arrive_from_the_relay_address_of_the_sender_and_link_faults_apply() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let sent: Vec<Vec<u8>> = (0..20).map(|number| vec![number; 9]).collect();
        assert_eq!(relay_packets("what = \"delay\"\nms = 1\n").await, (sent.clone(), true));
        assert_eq!(relay_packets("what = \"cut\"\n").await.0, [[0; 0]; 0]);
        assert_eq!(relay_packets("what = \"lose\"\nshare = 1.0\n").await.0.len(), 0);
        assert_eq!(relay_packets("what = \"repeat\"\nshare = 1.0\n").await.0.len(), 40);
        let corrupted = relay_packets("what = \"spoil\"\nshare = 1.0\n").await.0;
        assert!(corrupted.len() == 20 && corrupted != sent);
        let mut reordered = relay_packets("what = \"reorder\"\nshare = 0.5\n").await.0;
        assert_ne!(reordered, sent);
        reordered.sort();
        assert_eq!(reordered, sent);
        let one_way_cut = "what = \"cut\"\ndirection = \"one-way\"\n".replace("balancers:0", "");
        assert_eq!(
            relay_packets(&one_way_cut).await.0.len(),
            0,
            "packets passed a one-way cut in the direction from balancer 0"
        );
    });
}
