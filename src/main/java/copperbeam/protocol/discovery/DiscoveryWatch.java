package copperbeam.protocol.discovery;

import copperbeam.membership.Backoff;
import copperbeam.membership.WatchPace;
import copperbeam.membership.WatchPlan;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpClient;
import copperbeam.protocol.ProblemLog;
import copperbeam.routing.Actor;
import copperbeam.routing.FailureLog;
import copperbeam.routing.MembershipSource;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/** Reads the server list from the platform's discovery service: makes the calls that a {@link WatchPlan} asks for. */
public final class DiscoveryWatch implements MembershipSource {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final Duration PROGRESS_CHECK_INTERVAL = Duration.ofSeconds(1);

    private sealed interface Message permits SetAddress, CallAnswered, CallTimedOut, TimerFired, CheckProgress, Stop {}

    private record SetAddress(InetSocketAddress serviceAddress, Sink sink) implements Message {}

    private record CallAnswered(int callId, HttpClient.FullResponse response) implements Message {}

    private record CallTimedOut(int callId) implements Message {}

    private record TimerFired(int token) implements Message {}

    /** Calls anew if the plan's next timer was lost, as when the heap was full at the moment it was to be started. */
    private record CheckProgress() implements Message {}

    private record Stop() implements Message {}

    private record OpenCall(WatchPlan.StartCall request, Instant startedAt, Runnable cancel) {}

    private final class Watcher extends Actor<Message> {
        private final WatchPlan plan;
        private final WatchPace pace;
        private final Map<Integer, OpenCall> openCalls = new HashMap<>();
        private final ProblemLog problems = new ProblemLog(LOG);
        private Sink sink;
        private Instant lastCallAt; // when the newest call began; null before the first
        private boolean stopped;

        Watcher(ScheduledExecutorService scheduler, boolean serversExpected, Backoff backoff, WatchPace pace) {
            super(scheduler);
            this.pace = pace;
            plan = new WatchPlan(backoff, pace, serversExpected);
        }

        @Override
        protected void receive(Message message) {
            if (stopped) {
                return;
            }
            if (message instanceof SetAddress e) {
                sink = e.sink() == null ? sink : e.sink();
                LOG.fine(() -> "discovery: to " + e.serviceAddress());
                carryOut(
                        e.sink() == null || knownList == null
                                ? plan.moveTo(e.serviceAddress())
                                : plan.startFrom(e.serviceAddress(), knownList, clock.instant()));
            } else if (message instanceof CallAnswered e) {
                OpenCall call = openCalls.remove(e.callId());
                if (call != null) {
                    carryOut(onAnswer(call.request(), e.response()));
                }
            } else if (message instanceof CallTimedOut e) {
                OpenCall call = openCalls.remove(e.callId());
                if (call != null) {
                    call.cancel().run();
                    logProblem(call.request(), "no whole answer in time");
                    carryOut(plan.onFailure(e.callId(), false));
                }
            } else if (message instanceof TimerFired e) {
                carryOut(plan.onTimer(e.token(), clock.instant()));
            } else if (message instanceof CheckProgress) {
                if (lastCallAt != null && clock.instant().isAfter(lastCallAt.plus(WatchPlan.INFORMED_AFTER))) {
                    carryOut(plan.callAgain());
                }
            } else if (message instanceof Stop) {
                stopped = true;
                openCalls.values().forEach(o -> o.cancel().run());
            }
        }

        private List<WatchPlan.Action> onAnswer(WatchPlan.StartCall request, HttpClient.FullResponse response) {
            if (response.status() != 200) {
                return onFailure(
                        request,
                        response.status() >= 400 && response.status() < 500,
                        response.status() == 0 ? response.failure() : "status " + response.status());
            }
            try {
                ServerList list = ServerList.parse(new String(response.body(), StandardCharsets.UTF_8));
                if (request.sinceVersion() < 0 && !list.full()) {
                    throw new IllegalArgumentException("only changes, although the full list was requested");
                }
                List<WatchPlan.Action> actions = plan.onAnswer(
                        request.callId(),
                        new WatchPlan.Listing(list.version(), list.full(), list.entries()),
                        clock.instant());
                if (list.full()
                        && list.entries().isEmpty()
                        && actions.stream().noneMatch(WatchPlan.Publish.class::isInstance)) {
                    logProblem(request, "the list is empty, although servers were known before");
                } else {
                    problems.solved();
                }
                return actions;
            } catch (IllegalArgumentException problem) {
                return onFailure(request, false, problem.getMessage());
            }
        }

        /** Handles a failed or invalid response, of which nothing is used. {@code versionGone}: its status is 4xx. */
        private List<WatchPlan.Action> onFailure(WatchPlan.StartCall request, boolean versionGone, String reason) {
            logProblem(request, reason);
            return plan.onFailure(request.callId(), versionGone);
        }

        private void logProblem(WatchPlan.StartCall request, String problem) {
            problems.warn("discovery at " + request.address() + ": " + problem, "the server list is unchanged");
        }

        private void carryOut(List<WatchPlan.Action> actions) {
            carryOutAll(actions.iterator());
        }

        /** Carries out each action even if an earlier one throws: without the next call and its timer the watch would stop. */
        private void carryOutAll(Iterator<WatchPlan.Action> actions) {
            if (actions.hasNext()) {
                try {
                    carryOutOne(actions.next());
                } finally {
                    carryOutAll(actions);
                }
            }
        }

        private void carryOutOne(WatchPlan.Action action) {
            if (action instanceof WatchPlan.StartCall s) {
                startCall(s);
            } else if (action instanceof WatchPlan.CancelCall s) {
                cancelCall(s);
            } else if (action instanceof WatchPlan.StartTimer s) {
                tellLater(s.delay(), new TimerFired(s.token()));
            } else if (action instanceof WatchPlan.Publish s) {
                sink.changed(s.change());
            }
        }

        private void cancelCall(WatchPlan.CancelCall action) {
            OpenCall call = openCalls.remove(action.callId());
            if (call == null) {
                return;
            }
            call.cancel().run();
            if (clock.instant()
                    .isAfter(call.startedAt().plus(call.request().maxWait()).plus(pace.silenceTimeout()))) {
                logProblem(call.request(), "no whole answer in time");
            }
        }

        private void startCall(WatchPlan.StartCall request) {
            lastCallAt = clock.instant();
            String target = request.sinceVersion() < 0
                    ? "/v1/servers"
                    : "/v1/servers?from=" + request.sinceVersion() + "&hold_ms="
                            + request.maxWait().toMillis();
            openCalls.put(
                    request.callId(),
                    new OpenCall(
                            request,
                            clock.instant(),
                            client.fetch(
                                    request.address(),
                                    "GET",
                                    target,
                                    null,
                                    new HttpClient.Timeouts(WatchPlan.CONNECT_TIMEOUT, request.timeout()),
                                    HttpCall.MAX_BODY_BYTES,
                                    response -> tell(new CallAnswered(request.callId(), response)))));
            tellLater(request.timeout(), new CallTimedOut(request.callId())); // also ends a call that trickles bytes
        }
    }

    private final HttpClient client;
    private final Clock clock;
    private final InetSocketAddress serviceAddress;
    private final WatchPlan.Listing knownList;
    private final ScheduledExecutorService scheduler;
    private final Watcher watcher;
    private volatile Future<?> progressCheck = CompletableFuture.completedFuture(null);

    /**
     * {@code knownList}: an earlier list of the same discovery service, or null. {@code serversExpected}: the last known list
     * had servers.
     */
    public DiscoveryWatch(
            ScheduledExecutorService scheduler,
            HttpClient client,
            Clock clock,
            InetSocketAddress serviceAddress,
            WatchPlan.Listing knownList,
            boolean serversExpected,
            Backoff backoff,
            WatchPace pace) {
        this.scheduler = scheduler;
        this.knownList = knownList;
        this.client = client;
        this.clock = clock;
        this.serviceAddress = serviceAddress;
        watcher = new Watcher(scheduler, serversExpected, backoff, pace);
    }

    @Override
    public void start(Sink sink) {
        watcher.tell(new SetAddress(serviceAddress, sink));
        progressCheck = scheduler.scheduleWithFixedDelay(
                this::checkProgress,
                PROGRESS_CHECK_INTERVAL.toMillis(),
                PROGRESS_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
        try {
            watcher.tell(new CheckProgress());
        } catch (Error e) { // after which the executor would run no further check
            FailureLog.severe(LOG, () -> "checking the watch on discovery failed", e);
        }
    }

    /** Switches to another address of the discovery service, after a change of the configuration. */
    public void moveTo(InetSocketAddress address) {
        watcher.tell(new SetAddress(address, null));
    }

    @Override
    public void stop() {
        progressCheck.cancel(false);
        watcher.tell(new Stop());
    }
}
