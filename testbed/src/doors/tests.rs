//! Tests of `doors`.

use super::*;
use tokio::net::TcpStream;

#[tokio::test]
async fn a_door_refuses_while_closed_and_opens_again_at_its_address() {
    let door = Door::new().unwrap();
    assert!(TcpStream::connect(door.address()).await.is_err());
    let listener = door.open().unwrap();
    assert!(TcpStream::connect(door.address()).await.is_ok());
    drop(listener);
    // A process that another test starts in this moment has the listener, too, until its own program begins.
    let mut refused = false;
    for _ in 0..100 {
        refused = refused || TcpStream::connect(door.address()).await.is_err();
        if refused {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(refused);
    let _again = door.open().unwrap();
    assert!(TcpStream::connect(door.address()).await.is_ok());
}
