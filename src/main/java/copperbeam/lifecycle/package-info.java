/**
 * At work, drained by hand, stopping: which step of a conductor's life is due, without I/O or clock.
 *
 * <p>May be called by {@code program} alone, which carries the steps out. Imports nothing of the project.
 */
package copperbeam.lifecycle;
