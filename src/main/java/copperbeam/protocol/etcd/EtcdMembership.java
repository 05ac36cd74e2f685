package copperbeam.protocol.etcd;

import copperbeam.Api.ListKind;
import copperbeam.membership.WatchPlan;
import copperbeam.protocol.HttpClient;
import copperbeam.routing.Actor;
import copperbeam.routing.MembershipSource;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Logger;

/**
 * Reads the server list from etcd: the full list by a range request, then changes by a watch from the next revision. A watch
 * that breaks is resumed after the last revision seen. If etcd has compacted that revision, the full list is read again.
 */
public final class EtcdMembership implements MembershipSource {
    private static final Logger LOG = Logger.getLogger(EtcdMembership.class.getName());
    private static final HttpClient.Patience PATIENCE = new HttpClient.Patience(WatchPlan.CONNECT, WatchPlan.HOLD);
    private static final int MOST = 1 << 20; // of a range response, in base64; etcd itself rejects larger requests
    private static final Duration AGAIN = Duration.ofMillis(200);

    private sealed interface Message permits Start, Listed, Data, Ended, Again, Stop {}

    private record Start(Sink sink) implements Message {}

    private record Listed(int call, HttpClient.Answer answer) implements Message {}

    private record Data(int call, byte[] bytes) implements Message {}

    private record Ended(int call) implements Message {}

    private record Again() implements Message {}

    private record Stop() implements Message {}

    private final class Watcher extends Actor<Message> {
        private Sink sink;
        private boolean listed;
        private boolean stopped;
        private long revision;
        private int call;
        private EtcdWire.Lines lines;
        private Runnable cancel = () -> {};

        Watcher(ScheduledExecutorService turns) {
            super(turns);
        }

        @Override
        protected void receive(Message m) {
            if (m instanceof Stop) {
                stopped = true;
                cancel.run();
            } else if (stopped) {
                return;
            } else if (m instanceof Start e) {
                sink = e.sink();
                ask();
            } else if (m instanceof Again) {
                ask();
            } else if (m instanceof Listed e && e.call() == call) {
                guarded(() -> listed(e));
            } else if (m instanceof Data e && e.call() == call) {
                guarded(() -> lines.add(e.bytes()).forEach(this::line));
            } else if (m instanceof Ended e && e.call() == call) {
                later();
            }
        }

        /** Runs the step. If it meets malformed data, ends the call and retries with the full list; the known list stays. */
        private void guarded(Runnable step) {
            try {
                step.run();
            } catch (IllegalArgumentException e) {
                LOG.warning("etcd: " + e.getMessage());
                listed = false;
                later();
            }
        }

        private void later() {
            call++;
            cancel.run();
            tellLater(AGAIN, new Again());
        }

        private void ask() {
            int mine = ++call;
            // Each call is replaced after this time, whatever became of it: one that hangs or trickles can't be told
            // from one that has nothing to report. A watch resumes from its revision.
            tellLater(WatchPlan.HOLD, new Ended(mine));
            if (!listed) {
                cancel = client.whole(
                        endpoint,
                        "POST",
                        "/v3/kv/range",
                        EtcdWire.range(prefix),
                        PATIENCE,
                        MOST,
                        answer -> tell(new Listed(mine, answer)));
                return;
            }
            lines = new EtcdWire.Lines();
            cancel = client.send(
                    endpoint,
                    "POST",
                    "/v3/watch",
                    EtcdWire.watch(prefix, revision + 1),
                    PATIENCE,
                    new HttpClient.Response() {
                        @Override
                        public void head(int status) {
                            if (status != 200) {
                                tell(new Ended(mine));
                            }
                        }

                        @Override
                        public void data(byte[] bytes) {
                            tell(new Data(mine, bytes));
                        }

                        @Override
                        public void end() {
                            tell(new Ended(mine));
                        }

                        @Override
                        public void failed(String why) {
                            tell(new Ended(mine));
                        }
                    });
        }

        private void listed(Listed e) {
            if (e.answer().status() != 200) {
                throw new IllegalArgumentException(
                        e.answer().status() == 0
                                ? e.answer().fault()
                                : "status " + e.answer().status());
            }
            EtcdWire.Listing listing = EtcdWire.listing(prefix, e.answer().body());
            listed = true;
            revision = listing.revision();
            sink.changed(new Change(ListKind.FULL, listing.entries()));
            ask();
        }

        private void line(byte[] line) {
            if (line.length == 0) {
                return;
            }
            EtcdWire.Change change = EtcdWire.change(prefix, line);
            if (change.over()) {
                // compacted: the changes in between are no longer available
                listed = false;
                later();
                return;
            }
            List<Entry> entries = change.entries();
            if (!entries.isEmpty()) {
                revision = Math.max(revision, change.revision());
                sink.changed(new Change(ListKind.DELTA, entries));
            }
        }
    }

    private final HttpClient client;
    private final InetSocketAddress endpoint;
    private final String prefix;
    private final Watcher watcher;

    /** {@code prefix}: of the keys of all servers; ends in a slash. */
    public EtcdMembership(
            ScheduledExecutorService turns, HttpClient client, InetSocketAddress endpoint, String prefix) {
        this.client = client;
        this.endpoint = endpoint;
        this.prefix = prefix;
        watcher = new Watcher(turns);
    }

    @Override
    public void start(Sink sink) {
        watcher.tell(new Start(sink));
    }

    @Override
    public void stop() {
        watcher.tell(new Stop());
    }
}
