/**
 * The executable: command line, configuration, start, reload, upgrade and shutdown. Builds the other packages' objects
 * and connects them; no other package imports this one.
 */
package copperbeam.program;
