/**
 * The recorder: keeps the latest events of a conductor in a ring buffer and writes them to a file on a signal, at a stop or
 * at a broken rule. Also the reader of such files for {@code copperbeam explain}.
 *
 * <p>{@code program} creates a {@link copperbeam.record.FileRecorder} if the command line asks for one; {@code routing}
 * knows only its interface. If nothing is recorded, no class of this package is loaded.
 */
package copperbeam.record;
