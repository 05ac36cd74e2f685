package copperbeam.protocol.discovery;

import copperbeam.membership.Backoff;
import copperbeam.membership.WatchPlan;
import copperbeam.protocol.HttpClient;
import copperbeam.routing.Actor;
import copperbeam.routing.MembershipSource;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Logger;

/** Reads the server list from the platform's discovery service: makes the calls that a {@link WatchPlan} asks for. */
public final class DiscoveryWatch implements MembershipSource {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final HttpClient.Patience PATIENCE = new HttpClient.Patience(WatchPlan.CONNECT, WatchPlan.TOLD);
    private static final int MOST = 256 * 1024; // the protocol's limit for every body
    private static final int MOST_LINES = 16; // distinct log lines between two good responses
    private static final int LONGEST_LINE = 200; // as the text may come from a response

    private sealed interface Message permits Move, Answered, Late, Woken, Stop {}

    private record Move(InetSocketAddress agent, Sink sink) implements Message {}

    private record Answered(int call, HttpClient.Answer answer) implements Message {}

    private record Late(int call) implements Message {}

    private record Woken(int token) implements Message {}

    private record Stop() implements Message {}

    private record Out(WatchPlan.Ask ask, Instant asked, Runnable end) {}

    private final class Watcher extends Actor<Message> {
        private final WatchPlan plan;
        private final Map<Integer, Out> out = new HashMap<>();
        private final Set<String> said = new HashSet<>(); // since the last good response
        private Sink sink;
        private boolean stopped;

        Watcher(ScheduledExecutorService turns, boolean servers, Backoff backoff) {
            super(turns);
            plan = new WatchPlan(backoff, servers);
        }

        @Override
        protected void receive(Message m) {
            if (stopped) {
                return;
            }
            if (m instanceof Move e) {
                sink = e.sink() == null ? sink : e.sink();
                LOG.fine(() -> "discovery: to " + e.agent());
                take(
                        e.sink() == null || known == null
                                ? plan.move(e.agent())
                                : plan.begin(e.agent(), known, clock.instant()));
            } else if (m instanceof Answered e) {
                Out call = out.remove(e.call());
                if (call != null) {
                    take(answered(call.ask(), e.answer()));
                }
            } else if (m instanceof Late e) {
                Out call = out.remove(e.call());
                if (call != null) {
                    call.end().run();
                    say(call.ask(), "no whole answer in time");
                    take(plan.failed(e.call(), false));
                }
            } else if (m instanceof Woken e) {
                take(plan.woken(e.token(), clock.instant()));
            } else if (m instanceof Stop) {
                stopped = true;
                out.values().forEach(o -> o.end().run());
            }
        }

        private List<WatchPlan.Step> answered(WatchPlan.Ask ask, HttpClient.Answer a) {
            if (a.status() != 200) {
                return bad(
                        ask,
                        a.status() >= 400 && a.status() < 500,
                        a.status() == 0 ? a.fault() : "status " + a.status());
            }
            try {
                ServerList list = ServerList.parse(new String(a.body(), StandardCharsets.UTF_8));
                if (ask.from() < 0 && !list.full()) {
                    throw new IllegalArgumentException("only changes, although the full list was requested");
                }
                List<WatchPlan.Step> steps = plan.answered(
                        ask.call(),
                        new WatchPlan.Listing(list.version(), list.full(), list.entries()),
                        clock.instant());
                if (list.full()
                        && list.entries().isEmpty()
                        && steps.stream().noneMatch(WatchPlan.Tell.class::isInstance)) {
                    say(ask, "the list is empty, although servers were known before");
                } else {
                    said.clear();
                }
                return steps;
            } catch (IllegalArgumentException problem) {
                return bad(ask, false, problem.getMessage());
            }
        }

        /** Handles a failed or invalid response, of which nothing is used. {@code versionGone}: its status is 4xx. */
        private List<WatchPlan.Step> bad(WatchPlan.Ask ask, boolean gone, String why) {
            say(ask, why);
            return plan.failed(ask.call(), gone);
        }

        /** Logs each distinct problem once, because in an outage about ten calls per second may fail for the same reason. */
        private void say(WatchPlan.Ask ask, String why) {
            String line = "discovery at " + ask.at() + ": " + why.replaceAll("\\p{Cntrl}", " ");
            if (said.size() < MOST_LINES && said.add(line)) {
                LOG.warning(line.substring(0, Math.min(LONGEST_LINE, line.length())) + "; the server list is unchanged");
            }
        }

        private void take(List<WatchPlan.Step> steps) {
            takeAll(steps.iterator());
        }

        /** Carries out each action even if an earlier one throws: without the next call and its timer the watch would stop. */
        private void takeAll(Iterator<WatchPlan.Step> steps) {
            if (steps.hasNext()) {
                try {
                    takeOne(steps.next());
                } finally {
                    takeAll(steps);
                }
            }
        }

        private void takeOne(WatchPlan.Step step) {
            if (step instanceof WatchPlan.Ask s) {
                ask(s);
            } else if (step instanceof WatchPlan.Drop s) {
                drop(s);
            } else if (step instanceof WatchPlan.Wake s) {
                tellLater(s.after(), new Woken(s.token()));
            } else if (step instanceof WatchPlan.Tell s) {
                sink.changed(s.change());
            }
        }

        private void drop(WatchPlan.Drop s) {
            Out call = out.remove(s.call());
            if (call == null) {
                return;
            }
            call.end().run();
            if (clock.instant().isAfter(call.asked().plus(call.ask().hold()).plus(WatchPlan.SILENCE))) {
                say(call.ask(), "no whole answer in time");
            }
        }

        private void ask(WatchPlan.Ask s) {
            String target = s.from() < 0
                    ? "/v1/servers"
                    : "/v1/servers?from=" + s.from() + "&hold_ms=" + s.hold().toMillis();
            out.put(
                    s.call(),
                    new Out(
                            s,
                            clock.instant(),
                            client.whole(
                                    s.at(),
                                    "GET",
                                    target,
                                    null,
                                    PATIENCE,
                                    MOST,
                                    answer -> tell(new Answered(s.call(), answer)))));
            tellLater(WatchPlan.TOLD, new Late(s.call())); // also ends a call that trickles bytes
        }
    }

    private final HttpClient client;
    private final Clock clock;
    private final InetSocketAddress agent;
    private final WatchPlan.Listing known;
    private final Watcher watcher;

    /**
     * {@code knownList}: an earlier list of the same discovery service, or null. {@code serversExpected}: the last known list
     * had servers.
     */
    public DiscoveryWatch(
            ScheduledExecutorService turns,
            HttpClient client,
            Clock clock,
            InetSocketAddress agent,
            WatchPlan.Listing known,
            boolean servers,
            Backoff backoff) {
        this.known = known;
        this.client = client;
        this.clock = clock;
        this.agent = agent;
        watcher = new Watcher(turns, servers, backoff);
    }

    @Override
    public void start(Sink sink) {
        watcher.tell(new Move(agent, sink));
    }

    /** Switches to another address of the discovery service, after a change of the configuration. */
    public void move(InetSocketAddress to) {
        watcher.tell(new Move(to, null));
    }

    @Override
    public void stop() {
        watcher.tell(new Stop());
    }
}
