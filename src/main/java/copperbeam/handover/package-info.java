/**
 * What the old and the new process of one conductor share during an upgrade: the servers left out by hand, whether the
 * conductor is drained by hand, and which processes there are. Owns the rules by which two such states become one, and
 * the form of the file that carries them; no I/O, clock or threads: who calls reads, locks and writes the file.
 *
 * <p>May be called by {@code program} alone. Imports nothing of the project.
 */
package copperbeam.handover;
