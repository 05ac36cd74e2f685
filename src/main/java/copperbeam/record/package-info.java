/**
 * The recorder: the last events of a conductor in a bounded ring of bytes, written out on a signal, at a stop or at
 * a broken rule, and what {@code copperbeam explain} makes of such a file.
 *
 * <p>{@code program} makes a {@link copperbeam.record.FileRecorder} where one is asked for; {@code routing} knows
 * its interface alone. Without one no class of this package is loaded.
 */
package copperbeam.record;
