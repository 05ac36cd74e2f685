package copperbeam.protocol.discovery;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Logger;
import copperbeam.Api.ListKind;
import copperbeam.protocol.HttpClient;
import copperbeam.routing.Actor;
import copperbeam.routing.MembershipSource;

/**
 * The platform's discovery: the whole list once, then one watch after another, each at once after the last
 * answer so that no change in between is lost.
 */
public final class DiscoveryWatch implements MembershipSource {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final Duration HOLD = Duration.ofSeconds(3); // a silent agent is noticed soon after it
    private static final Duration SILENCE = HOLD.plusSeconds(2);
    private static final Duration AGAIN = Duration.ofMillis(100); // below the 200 ms after which a watch is new

    private sealed interface Message permits Start, Answered, Again, Move, Stop {}

    private record Start(Sink sink) implements Message {}

    private record Answered(int call, int status, byte[] body) implements Message {}

    private record Again(int call) implements Message {}

    private record Move(InetSocketAddress agent) implements Message {}

    private record Stop() implements Message {}

    private final class Watcher extends Actor<Message> {
        private InetSocketAddress agent;
        private Sink sink;
        private boolean stopped;
        private boolean listed;
        private long version;
        private int call;
        private Runnable cancel = () -> {};

        Watcher(ScheduledExecutorService turns, InetSocketAddress agent) {
            super(turns);
            this.agent = agent;
        }

        @Override
        protected void receive(Message m) {
            if (m instanceof Start e) {
                sink = e.sink();
                ask();
            } else if (m instanceof Stop) {
                stopped = true;
                cancel.run();
            } else if (!stopped && m instanceof Move e) {
                move(e.agent());
            } else if (!stopped && m instanceof Again e && e.call() == call) {
                ask();
            } else if (!stopped && m instanceof Answered e && e.call() == call) {
                answered(e);
            }
        }

        /** Its versions are its own: the whole list is asked for, and what is known stays until that is in. */
        private void move(InetSocketAddress to) {
            if (!to.equals(agent)) {
                LOG.info("discovery: from " + agent + " to " + to);
                agent = to;
                cancel.run();
                listed = false;
                ask();
            }
        }

        private void ask() {
            int mine = ++call;
            String target = listed ? "/v1/servers?from=" + version + "&hold_ms=" + HOLD.toMillis() : "/v1/servers";
            cancel = client.whole(agent, "GET", target, null, SILENCE,
                    (status, body) -> tell(new Answered(mine, status, body)));
        }

        private void answered(Answered e) {
            try {
                if (e.status() != 200) {
                    // a version that the agent no longer takes is asked for no more
                    listed &= e.status() == 0 || e.status() >= 500;
                    throw new IllegalArgumentException(e.status() == 0 ? "no answer" : "status " + e.status());
                }
                ServerList list = ServerList.parse(new String(e.body(), StandardCharsets.UTF_8));
                Change change = list.change(list.full() ? ListKind.FULL : ListKind.DELTA);
                if (!list.full() && (!listed || list.version() < version)) {
                    // discovery began anew: changes against a list that we do not hold say nothing
                    listed = false;
                } else {
                    listed = true;
                    version = list.version();
                    if (list.full() || !change.entries().isEmpty()) {
                        sink.changed(change);
                    }
                }
                ask();
            } catch (IllegalArgumentException problem) {
                LOG.fine(() -> "discovery: " + problem.getMessage());
                tellLater(AGAIN, new Again(call));
            }
        }
    }

    private final HttpClient client;
    private final Watcher watcher;

    public DiscoveryWatch(ScheduledExecutorService turns, HttpClient client, InetSocketAddress agent) {
        this.client = client;
        watcher = new Watcher(turns, agent);
    }

    @Override
    public void start(Sink sink) {
        watcher.tell(new Start(sink));
    }

    /** Goes on at another address, as a new configuration names it. */
    public void move(InetSocketAddress to) {
        watcher.tell(new Move(to));
    }

    @Override
    public void stop() {
        watcher.tell(new Stop());
    }
}
