/**
 * The decision module: which server serves a request, when an attempt is retried, and when a request is refused. It
 * contains admission control, load balancing, retries, outlier ejection and the slow start of new servers. It does no
 * I/O, reads no clock and starts no threads: {@link copperbeam.Brain} takes one event of {@link copperbeam.Api} at a
 * time and returns the actions to carry out.
 *
 * <p>Imports nothing from the other packages.
 */
package copperbeam;
