/**
 * The merged list of servers, and the calls by which it is watched: decision logic without I/O or clock.
 * {@link copperbeam.membership.MergedMembers} merges what several sources report of each server;
 * {@link copperbeam.membership.WatchPlan} decides which calls are open at the current address of the list and, during a
 * move, at earlier ones.
 *
 * <p>May be called by the clients of the list service ({@code protocol.discovery}, {@code protocol.etcd}), each from its
 * own actor only. Depends on {@code routing}'s list entries and on the module's members, and on nothing above them.
 */
package copperbeam.membership;
