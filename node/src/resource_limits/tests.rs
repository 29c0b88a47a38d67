use super::*;

const MB: usize = 1 << 20;

fn limits(megabytes: usize, descriptors: usize, processes: usize) -> ResourceLimits {
    let configured = ConfiguredLimits { memory_bytes: megabytes * MB, descriptors };
    ResourceLimits::from_configured(configured, processes)
}

/// What all parts of the budget need together, if each is used up.
fn total_bytes(limits: &ResourceLimits, memory_bytes: usize, processes: usize) -> usize {
    let client_bytes = CLIENT_CONNECTION_BYTES - MIN_UNREAD_ANSWER_BYTES + limits.unread_answer_bytes;
    PROCESS_BYTES
        + memory_bytes / ALLOCATOR_DIVISOR
        + limits.client_connections * client_bytes
        + limits.server_connections * SERVER_CONNECTION_BYTES
        + limits.pool_bytes * processes
}

/// Guards against exhausted descriptors and memory: the connections fit into the descriptors, clients have more than the
/// third that they may use for requests, and the parts of the memory budget are not more than the memory together.
#[test]
fn components_stay_within_the_configured_limits() {
    for (megabytes, descriptors) in [(32, 256), (48, 384), (192, 1024), (32, 1024), (2048, 4096)] {
        for processes in [1, 2] {
            let limits = limits(megabytes, descriptors, processes);
            assert!(
                limits.client_connections + limits.server_connections + RESERVED_DESCRIPTORS <= descriptors
            );
            assert!(
                limits.client_connections > descriptors / 3 && limits.server_connections > descriptors / 2
            );
            assert!(limits.idle_client_connections > 0 && limits.idle_client_connections < descriptors / 3);
            assert!(total_bytes(&limits, megabytes * MB, processes) <= megabytes * MB, "{limits:?}");
            // Room for some tens of the longest values that are held whole.
            assert!(limits.pool_bytes * processes >= 4 * MB, "{limits:?}");
        }
    }
}

/// Where the memory does not allow as many connections as the descriptors, there are fewer, and still room for buffers.
#[test]
fn little_memory_reduces_the_connections() {
    for megabytes in [12, 16, 24] {
        let limits = limits(megabytes, 4096, 1);
        assert!(limits.client_connections + limits.server_connections < 1024, "{limits:?}");
        assert!(limits.pool_bytes >= megabytes * MB / MIN_POOL_DIVISOR, "{limits:?}");
        assert!(total_bytes(&limits, megabytes * MB, 1) <= megabytes * MB, "{limits:?}");
    }
}
