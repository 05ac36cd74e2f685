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
    private static final HttpClient.Timeouts TIMEOUTS =
            new HttpClient.Timeouts(WatchPlan.CONNECT_TIMEOUT, WatchPlan.MAX_POLL_WAIT);
    private static final int MAX_BODY_BYTES = 1 << 20; // of a range response, in which keys and values are in base64
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private sealed interface Message permits Start, RangeAnswered, WatchData, CallEnded, Retry, Stop {}

    private record Start(Sink sink) implements Message {}

    private record RangeAnswered(int callId, HttpClient.FullResponse response) implements Message {}

    private record WatchData(int callId, byte[] bytes) implements Message {}

    private record CallEnded(int callId) implements Message {}

    private record Retry() implements Message {}

    private record Stop() implements Message {}

    private final class Watcher extends Actor<Message> {
        private Sink sink;
        private boolean hasList;
        private boolean stopped;
        private long revision;
        private int currentCallId;
        private EtcdWire.LineSplitter lineSplitter;
        private Runnable cancel = () -> {};

        Watcher(ScheduledExecutorService scheduler) {
            super(scheduler);
        }

        @Override
        protected void receive(Message message) {
            if (message instanceof Stop) {
                stopped = true;
                cancel.run();
            } else if (stopped) {
                return;
            } else if (message instanceof Start e) {
                sink = e.sink();
                startCall();
            } else if (message instanceof Retry) {
                startCall();
            } else if (message instanceof RangeAnswered e && e.callId() == currentCallId) {
                retryIfMalformed(() -> onRangeAnswered(e));
            } else if (message instanceof WatchData e && e.callId() == currentCallId) {
                retryIfMalformed(() -> lineSplitter.add(e.bytes()).forEach(this::onWatchLine));
            } else if (message instanceof CallEnded e && e.callId() == currentCallId) {
                retryLater();
            }
        }

        /** Runs the step. If it meets malformed data, ends the call and retries with the full list; the known list stays. */
        private void retryIfMalformed(Runnable step) {
            try {
                step.run();
            } catch (IllegalArgumentException e) {
                LOG.warning("etcd: " + e.getMessage());
                hasList = false;
                retryLater();
            }
        }

        private void retryLater() {
            currentCallId++;
            cancel.run();
            tellLater(RETRY_DELAY, new Retry());
        }

        private void startCall() {
            int callId = ++currentCallId;
            // Each call is replaced after this time, whatever became of it: one that hangs or trickles can't be told
            // from one that has nothing to report. A watch resumes from its revision.
            tellLater(WatchPlan.MAX_POLL_WAIT, new CallEnded(callId));
            if (!hasList) {
                cancel = client.fetch(
                        endpoint,
                        "POST",
                        "/v3/kv/range",
                        EtcdWire.rangeRequest(prefix),
                        TIMEOUTS,
                        MAX_BODY_BYTES,
                        response -> tell(new RangeAnswered(callId, response)));
                return;
            }
            lineSplitter = new EtcdWire.LineSplitter();
            cancel = client.send(
                    endpoint,
                    "POST",
                    "/v3/watch",
                    EtcdWire.watchRequest(prefix, revision + 1),
                    TIMEOUTS,
                    new HttpClient.ResponseListener() {
                        @Override
                        public void head(int status) {
                            if (status != 200) {
                                tell(new CallEnded(callId));
                            }
                        }

                        @Override
                        public void data(byte[] bytes) {
                            tell(new WatchData(callId, bytes));
                        }

                        @Override
                        public void end() {
                            tell(new CallEnded(callId));
                        }

                        @Override
                        public void failed(String reason) {
                            tell(new CallEnded(callId));
                        }
                    });
        }

        private void onRangeAnswered(RangeAnswered message) {
            if (message.response().status() != 200) {
                throw new IllegalArgumentException(
                        message.response().status() == 0
                                ? message.response().failure()
                                : "status " + message.response().status());
            }
            EtcdWire.Listing listing =
                    EtcdWire.parseListing(prefix, message.response().body());
            hasList = true;
            revision = listing.revision();
            sink.changed(new Change(ListKind.FULL, listing.entries()));
            startCall();
        }

        private void onWatchLine(byte[] line) {
            if (line.length == 0) {
                return;
            }
            EtcdWire.Change change = EtcdWire.parseWatchLine(prefix, line);
            if (change.ended()) {
                // compacted: the changes in between are no longer available
                hasList = false;
                retryLater();
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
            ScheduledExecutorService scheduler, HttpClient client, InetSocketAddress endpoint, String prefix) {
        this.client = client;
        this.endpoint = endpoint;
        this.prefix = prefix;
        watcher = new Watcher(scheduler);
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
