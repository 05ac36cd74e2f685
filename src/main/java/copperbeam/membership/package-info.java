/**
 * What is known of the servers, and what is asked next of those that tell: choices without I/O or clock.
 * {@link copperbeam.membership.MemberBook} owns who said what of which server and whose word holds;
 * {@link copperbeam.membership.WatchPlan} owns the calls that are out at one address or at two during a move.
 *
 * <p>May be called by the sources of the list ({@code protocol.discovery}, {@code protocol.etcd}), each from its
 * own actor alone. Knows {@code routing}'s entries of the list and the module's members, and nothing above them.
 */
package copperbeam.membership;
