/**
 * The core: actors that own open requests, connections to servers and the list of servers. They tell the decision
 * module what happens and carry out its actions.
 *
 * <p>Knows requests, attempts and outcomes, and no wire format. Transports and protocols implement its interfaces
 * ({@link copperbeam.routing.Answer}, {@link copperbeam.routing.Connector},
 * {@link copperbeam.routing.MembershipSource}, {@link copperbeam.routing.Intake}).
 */
package copperbeam.routing;
