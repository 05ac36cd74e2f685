/**
 * The core: actors that own open requests, connections to servers and the list of servers. They report events to the decision
 * module and carry out its actions.
 *
 * <p>The core knows requests, attempts and outcomes, but no wire format. Transports and protocols implement its interfaces
 * ({@link copperbeam.routing.ResponseSink}, {@link copperbeam.routing.Connector},
 * {@link copperbeam.routing.MembershipSource}) and pass requests to its {@link copperbeam.routing.Intake}.
 */
package copperbeam.routing;
