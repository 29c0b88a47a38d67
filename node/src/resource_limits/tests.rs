use super::*;

/// Guards against exhausted descriptors and memory: the connections fit into the descriptors, clients have more than the
/// third that they may use for requests, and the buffers for clients leave most of the memory free.
#[test]
fn components_stay_within_the_configured_limits() {
    for (megabytes, descriptors) in [(32, 256), (48, 384), (192, 1024), (32, 1024)] {
        let configured = ConfiguredLimits { memory_bytes: megabytes << 20, descriptors };
        let limits = ResourceLimits::from_configured(configured);
        assert!(limits.client_connections + limits.server_connections + RESERVED_DESCRIPTORS <= descriptors);
        assert!(limits.client_connections > descriptors / 3 && limits.server_connections > descriptors / 2);
        assert!(limits.chunk_bytes * 4 * limits.client_connections <= (megabytes << 20) / 2);
        assert!(limits.idle_client_connections > 0 && limits.idle_client_connections < descriptors / 3);
        assert!(limits.client_buffer_bytes <= (megabytes << 20) / 4);
        assert!(
            limits.unread_answer_bytes * limits.client_connections <= limits.client_buffer_bytes.max(4 << 20)
        );
    }
}
