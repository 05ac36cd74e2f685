/**
 * Runs the decision module under a simulator: reads its events as JSON lines, passes them to one
 * {@link copperbeam.Brain} for each instance, and writes the actions.
 */
package copperbeam.simhost;
