/**
 * Reads the server list from the platform's discovery service. Makes the long-polling calls that
 * {@link copperbeam.membership.WatchPlan} asks for, and parses their responses.
 */
package copperbeam.protocol.discovery;
