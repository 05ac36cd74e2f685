/**
 * How a conductor ends: which of its stop's steps is due, without I/O or clock.
 *
 * <p>May be called by {@code program} alone, which carries the steps out. Imports nothing of the project.
 */
package copperbeam.lifecycle;
