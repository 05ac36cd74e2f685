/**
 * The decision module: which server serves a request, when an attempt is repeated, and when a request is refused. It
 * holds outlier ejection, slow start of new servers, admission control and the choice of retries. It does no I/O, reads
 * no clock and starts no threads: {@link copperbeam.Brain} takes one event of {@link copperbeam.Api} at a time and
 * returns the actions to carry out.
 *
 * <p>Imports nothing of the other packages.
 */
package copperbeam;
