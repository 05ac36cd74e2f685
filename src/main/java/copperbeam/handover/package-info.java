/**
 * What the old and the new process of one conductor share during an upgrade: the servers banned by operators, whether
 * operators have drained the conductor, and which processes there are. Owns the rules for merging two such states and the
 * format of the file that holds them. No I/O, clock or threads: the caller reads, locks and writes the file.
 *
 * <p>May be called by {@code program} only. Depends on no other package of the project.
 */
package copperbeam.handover;
