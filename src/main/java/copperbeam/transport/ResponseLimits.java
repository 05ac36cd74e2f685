package copperbeam.transport;

import java.time.Duration;

/**
 * Limits on the responses on one connection.
 *
 * @param headTimeout longest pause within a response head that has begun
 * @param maxChunkBytes a larger chunk is an error
 */
record ResponseLimits(Duration headTimeout, int maxChunkBytes) {
    /** For servers, whose calls are retried elsewhere. */
    static final ResponseLimits OF_SERVERS = new ResponseLimits(Duration.ofMillis(800), 1 << 20);

    /** For a service that gives the server list, which may come in one chunk. */
    static ResponseLimits ofService(Duration headTimeout) {
        return new ResponseLimits(headTimeout, 64 << 20);
    }
}
