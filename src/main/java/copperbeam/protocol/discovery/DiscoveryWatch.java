package copperbeam.protocol.discovery;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Logger;
import copperbeam.membership.Pauses;
import copperbeam.membership.WatchPlan;
import copperbeam.protocol.HttpClient;
import copperbeam.routing.Actor;
import copperbeam.routing.MembershipSource;

/** The platform's discovery: makes the calls that a {@link WatchPlan} asks for and tells it what comes back. */
public final class DiscoveryWatch implements MembershipSource {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final Duration SILENCE = WatchPlan.TOLD; // without a byte; the plan has asked anew long before

    private sealed interface Message permits Move, Answered, Woken, Stop {}

    private record Move(InetSocketAddress agent, Sink sink) implements Message {}

    private record Answered(int call, int status, byte[] body) implements Message {}

    private record Woken(int token) implements Message {}

    private record Stop() implements Message {}

    private final class Watcher extends Actor<Message> {
        private final WatchPlan plan;
        private final Map<Integer, Runnable> out = new HashMap<>();
        private Sink sink;
        private boolean stopped;

        Watcher(ScheduledExecutorService turns, Pauses pauses) {
            super(turns);
            plan = new WatchPlan(pauses);
        }

        @Override
        protected void receive(Message m) {
            if (stopped) {
                return;
            }
            if (m instanceof Move e) {
                sink = e.sink() == null ? sink : e.sink();
                LOG.fine(() -> "discovery: to " + e.agent());
                take(e.sink() == null || known == null ? plan.move(e.agent())
                        : plan.begin(e.agent(), known, clock.instant()));
            } else if (m instanceof Answered e && out.remove(e.call()) != null) {
                take(answered(e));
            } else if (m instanceof Woken e) {
                take(plan.woken(e.token(), clock.instant()));
            } else if (m instanceof Stop) {
                stopped = true;
                out.values().forEach(Runnable::run);
            }
        }

        private List<WatchPlan.Step> answered(Answered e) {
            try {
                if (e.status() == 200) {
                    ServerList list = ServerList.parse(new String(e.body(), StandardCharsets.UTF_8));
                    return plan.answered(e.call(), new WatchPlan.Listing(list.version(), list.full(), list.entries()),
                            clock.instant());
                }
            } catch (IllegalArgumentException problem) {
                LOG.fine(() -> "discovery: " + problem.getMessage());
            }
            return plan.failed(e.call(), e.status() >= 400 && e.status() < 500);
        }

        private void take(List<WatchPlan.Step> steps) {
            for (WatchPlan.Step step : steps) {
                if (step instanceof WatchPlan.Ask s) {
                    ask(s);
                } else if (step instanceof WatchPlan.Drop s) {
                    Runnable end = out.remove(s.call());
                    if (end != null) {
                        end.run();
                    }
                } else if (step instanceof WatchPlan.Wake s) {
                    tellLater(s.after(), new Woken(s.token()));
                } else if (step instanceof WatchPlan.Tell s) {
                    sink.changed(s.change());
                }
            }
        }

        private void ask(WatchPlan.Ask s) {
            String target = s.from() < 0 ? "/v1/servers"
                    : "/v1/servers?from=" + s.from() + "&hold_ms=" + s.hold().toMillis();
            out.put(s.call(), client.whole(s.at(), "GET", target, null, SILENCE,
                    (status, body) -> tell(new Answered(s.call(), status, body))));
        }
    }

    private final HttpClient client;
    private final Clock clock;
    private final InetSocketAddress agent;
    private final WatchPlan.Listing known;
    private final Watcher watcher;

    /** {@code known}: a list of the same discovery's from before, or null. */
    public DiscoveryWatch(ScheduledExecutorService turns, HttpClient client, Clock clock, InetSocketAddress agent,
            WatchPlan.Listing known, Pauses pauses) {
        this.known = known;
        this.client = client;
        this.clock = clock;
        this.agent = agent;
        watcher = new Watcher(turns, pauses);
    }

    @Override
    public void start(Sink sink) {
        watcher.tell(new Move(agent, sink));
    }

    /** Goes on at another address, as a new configuration names it. */
    public void move(InetSocketAddress to) {
        watcher.tell(new Move(to, null));
    }

    @Override
    public void stop() {
        watcher.tell(new Stop());
    }
}
