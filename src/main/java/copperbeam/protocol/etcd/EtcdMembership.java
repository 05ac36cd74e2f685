package copperbeam.protocol.etcd;

import copperbeam.membership.Backoff;
import copperbeam.membership.StreamWatchPlan;
import copperbeam.membership.StreamWatchPlan.Action;
import copperbeam.protocol.HttpClient;
import copperbeam.protocol.ProblemLog;
import copperbeam.routing.Actor;
import copperbeam.routing.FailureLog;
import copperbeam.routing.MembershipSource;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;

/** Reads the server list from etcd: makes the calls that a {@link StreamWatchPlan} asks for. */
public final class EtcdMembership implements MembershipSource {
    private static final Logger LOG = Logger.getLogger(EtcdMembership.class.getName());
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration NO_SILENCE_TIMEOUT = Duration.ofDays(1); // the plan ends silent calls
    private static final HttpClient.Timeouts TIMEOUTS = new HttpClient.Timeouts(CONNECT_TIMEOUT, NO_SILENCE_TIMEOUT);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private static final Duration END_TIMEOUT =
            Duration.ofSeconds(1); // from a complete list to the end of its response

    private sealed interface Message permits Start, Responded, EndOverdue, Tick, Stop {}

    private record Start(Sink sink) implements Message {}

    private record Responded(int callId, EtcdResponse response) implements Message {}

    /** The response of a list call should have ended; {@code cancel} has no effect if it has. */
    private record EndOverdue(Runnable cancel) implements Message {}

    private record Tick() implements Message {}

    private record Stop() implements Message {}

    private final class Watcher extends Actor<Message> {
        private final StreamWatchPlan plan =
                new StreamWatchPlan(new Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, RandomGenerator.getDefault()));
        private final Map<Integer, Runnable> openCalls = new HashMap<>(); // their cancellations
        private final ProblemLog callProblems = new ProblemLog(LOG);
        private final ProblemLog entryProblems = new ProblemLog(LOG);
        private final ListAgeLog ageLog = new ListAgeLog(LOG, "etcd at " + endpoint);
        private Sink sink;
        private boolean stopped;

        Watcher(ScheduledExecutorService scheduler) {
            super(scheduler);
        }

        @Override
        protected void receive(Message message) {
            if (stopped) {
                return;
            }
            if (message instanceof Start e) {
                sink = e.sink();
                ageLog.started(clock.instant());
            } else if (message instanceof Tick && sink != null) {
                carryOut(plan.onTick(clock.instant()));
                ageLog.check(plan.confirmedAt(), clock.instant());
            } else if (message instanceof Responded e && openCalls.containsKey(e.callId())) {
                carryOut(onResponse(e.callId(), e.response()));
            } else if (message instanceof EndOverdue e) {
                e.cancel().run();
            } else if (message instanceof Stop) {
                stopped = true;
                openCalls.values().forEach(Runnable::run);
            }
        }

        private List<Action> onResponse(int callId, EtcdResponse response) {
            if (response instanceof EtcdResponse.Listed e) {
                tellLater(END_TIMEOUT, new EndOverdue(openCalls.remove(callId)));
                callProblems.solved();
                logEntryProblems(e.problems());
                return plan.onListed(callId, e.listing(), clock.instant());
            } else if (response instanceof EtcdResponse.Watched e) {
                e.problems().forEach(this::logEntryProblem);
                return plan.onWatchResponse(callId, e.response(), clock.instant());
            } else if (response instanceof EtcdResponse.Compacted e) {
                endFailedCall(callId, "the changes before revision " + e.compactRevision() + " are compacted");
                return plan.onCompacted(callId, e.compactRevision(), clock.instant());
            } else if (response instanceof EtcdResponse.Failed e) {
                endFailedCall(callId, e.reason());
                return plan.onFailure(callId, clock.instant());
            }
            throw new AssertionError(response);
        }

        private void endFailedCall(int callId, String reason) {
            cancelCall(callId);
            callProblems.warn("etcd at " + endpoint + ": " + reason, "the server list is unchanged");
        }

        private void logEntryProblems(List<String> problems) {
            if (problems.isEmpty()) {
                entryProblems.solved();
            }
            problems.forEach(this::logEntryProblem);
        }

        private void logEntryProblem(String problem) {
            entryProblems.warn("etcd at " + endpoint + ": " + problem, "this server's entry is unchanged");
        }

        private void carryOut(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof StreamWatchPlan.Publish publish) {
                    publish(publish.change());
                } else if (action instanceof StreamWatchPlan.CancelCall cancel) {
                    cancelCall(cancel.callId());
                } else if (action instanceof StreamWatchPlan.StartList list) {
                    startCall(
                            list.callId(),
                            "/v3/kv/range",
                            EtcdWire.rangeRequest(prefix),
                            ResponseReader.ofList(prefix, response -> tell(new Responded(list.callId(), response))));
                } else if (action instanceof StreamWatchPlan.StartWatch watch) {
                    startCall(
                            watch.callId(),
                            "/v3/watch",
                            EtcdWire.watchRequest(prefix, watch.fromRevision()),
                            ResponseReader.ofWatch(prefix, response -> tell(new Responded(watch.callId(), response))));
                }
            }
        }

        private void startCall(int callId, String target, byte[] body, ResponseReader reader) {
            openCalls.put(callId, () -> {});
            try {
                openCalls.put(callId, client.send(endpoint, "POST", target, body, TIMEOUTS, reader));
            } catch (RuntimeException | Error e) {
                FailureLog.severe(LOG, () -> "a call to etcd could not be made", e);
                tell(new Responded(callId, new EtcdResponse.Failed("no call could be made")));
            }
        }

        private void cancelCall(int callId) {
            Runnable cancel = openCalls.remove(callId);
            if (cancel != null) {
                cancel.run();
            }
        }

        /** A change that can't be passed on is published again with the next list. */
        private void publish(Change change) {
            try {
                sink.changed(change);
            } catch (RuntimeException | Error e) {
                plan.publishAgain();
                FailureLog.severe(LOG, () -> "the server list could not be passed on", e);
            }
        }
    }

    private final ScheduledExecutorService scheduler;
    private final HttpClient client;
    private final Clock clock;
    private final InetSocketAddress endpoint;
    private final String prefix;
    private final Watcher watcher;
    private volatile Future<?> ticks = CompletableFuture.completedFuture(null);

    /**
     * {@code clock}: must not step; {@code prefix}: of the keys of all servers; ends in a slash.
     */
    public EtcdMembership(
            ScheduledExecutorService scheduler,
            HttpClient client,
            Clock clock,
            InetSocketAddress endpoint,
            String prefix) {
        this.scheduler = scheduler;
        this.client = client;
        this.clock = clock;
        this.endpoint = endpoint;
        this.prefix = prefix;
        watcher = new Watcher(scheduler);
    }

    @Override
    public void start(Sink sink) {
        watcher.tell(new Start(sink));
        ticks = scheduler.scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void tick() {
        try {
            watcher.tell(new Tick());
        } catch (Error e) { // after which the executor would run no further tick
            FailureLog.severe(LOG, () -> "the watch on etcd was held up", e);
        }
    }

    @Override
    public void stop() {
        ticks.cancel(false);
        watcher.tell(new Stop());
    }
}
