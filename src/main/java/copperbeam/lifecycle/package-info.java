/**
 * Decides which step of a drain or stop of the conductor is due, without I/O or clock.
 *
 * <p>May be called by {@code program} only, which carries the steps out. Depends on no other package of the project.
 */
package copperbeam.lifecycle;
