//! Options of connections to upstreams.

use std::time::Duration;

use monsoonbank_daemon::gateway::connections::set_options;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Time for which a sound upstream may send nothing at all.
const SOUND_SILENCE: Duration = Duration::from_secs(2);
/// Time after which a connection to a host that is gone has to be given up.
const MAX_SILENCE: Duration = Duration::from_secs(4);

// Guards against a connection that is given up while a sound upstream is silent for a second or so.
// The user timeout also ends the keepalive probes, whatever their number.
#[tokio::test]
async fn a_silent_upstream_keeps_its_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    set_options(&stream).expect("set");
    let socket = SockRef::from(&stream);
    let unacknowledged = socket.tcp_user_timeout().expect("read").expect("set");
    assert!(unacknowledged >= SOUND_SILENCE && unacknowledged <= MAX_SILENCE);
    let first = socket.tcp_keepalive_time().expect("read");
    let interval = socket.tcp_keepalive_interval().expect("read");
    let probes = socket.tcp_keepalive_retries().expect("read");
    // Both bounds are only looked at when a probe is due.
    let mut idle = first + interval;
    while idle < unacknowledged {
        idle += interval;
    }
    assert!(idle >= SOUND_SILENCE && idle <= MAX_SILENCE, "{idle:?}");
    let by_count = first + interval * probes;
    assert!(by_count >= SOUND_SILENCE, "{by_count:?}");
}
