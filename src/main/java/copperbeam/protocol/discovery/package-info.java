/**
 * The platform's discovery service as the source of the list of servers. Parses its answers and makes the long-polling
 * calls that {@link copperbeam.membership.WatchPlan} asks for.
 */
package copperbeam.protocol.discovery;
