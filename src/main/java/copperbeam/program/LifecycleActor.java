package copperbeam.program;

import copperbeam.lifecycle.Lifecycle;
import copperbeam.lifecycle.Lifecycle.Step;
import copperbeam.routing.Actor;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.HttpFrontServer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Logger;

/** Owns the conductor's {@link Lifecycle} and carries out its steps for drains by operators and for the stop. */
final class LifecycleActor extends Actor<LifecycleActor.Message> implements Handover.ChangeListener {
    sealed interface Message permits Drain, Stop, Succeeded, Tick {}

    private record Drain(boolean drained, Consumer<Boolean> done) implements Message {}

    private record Stop() implements Message {}

    private record Succeeded(boolean by) implements Message {}

    private record Tick() implements Message {}

    private static final Logger LOG = Logger.getLogger(LifecycleActor.class.getName());
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration LONGEST_STOP = Duration.ofSeconds(60); // a stop ends after this time in any case

    private final Clock clock;
    private final Instant from;
    private final Lifecycle lifecycle;
    private final List<HttpFrontServer> fronts;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final BooleanSupplier othersAway;
    private final Consumer<Handover.Beside> besides;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Step step = Step.WORK;
    private Instant stopAt;
    private boolean listening = true;
    private boolean taking = true;
    private boolean ticking;
    private volatile boolean healthy = true;
    private volatile boolean stopping;

    LifecycleActor(
            ScheduledExecutorService turns,
            Clock clock,
            Lifecycle lifecycle,
            List<HttpFrontServer> fronts,
            ModuleActor module,
            ReleaseActor releases,
            BooleanSupplier othersAway,
            Consumer<Handover.Beside> besides) {
        super(turns);
        this.clock = clock;
        from = clock.instant();
        this.lifecycle = lifecycle;
        this.fronts = fronts;
        this.module = module;
        this.releases = releases;
        this.othersAway = othersAway;
        this.besides = besides;
    }

    /** Whether health checks should pass: neither drained by operators nor stopping. Thread-safe. */
    boolean healthy() {
        return healthy;
    }

    boolean stopping() {
        return stopping;
    }

    @Override
    public void drain(boolean drained, Consumer<Boolean> done) {
        tell(new Drain(drained, done));
    }

    @Override
    public void beside(Handover.Beside now) {
        besides.accept(now);
        tell(new Succeeded(now.succeeded()));
    }

    /**
     * Starts the stop; {@code successorServes}: whether a process started later is serving. The returned future, the same at
     * each call, completes when the process may end.
     */
    CompletableFuture<Void> stop(boolean successor) {
        stopping = true;
        healthy &= successor; // takes effect at once, without waiting for queued messages
        if (successor) {
            tell(new Succeeded(true));
        }
        tell(new Stop());
        return ended;
    }

    @Override
    protected void receive(Message m) {
        try {
            act(m);
        } finally {
            if (lifecycle.stopping() && !ended.isDone()) {
                watch(); // also after a failure: without further ticks the stop would last until the kill
            }
        }
    }

    private void act(Message m) {
        Duration now = Duration.between(from, clock.instant());
        if (m instanceof Drain e) {
            boolean done = e.drained() ? lifecycle.drain(now) : lifecycle.rejoin();
            carryOut();
            e.done().accept(done);
        } else if (m instanceof Stop) {
            stopAt = stopAt == null ? clock.instant() : stopAt;
            lifecycle.stop(now);
            carryOut();
        } else if (m instanceof Succeeded e) {
            lifecycle.succeeded(e.by());
            carryOut();
        } else if (m instanceof Tick) {
            ticking = false;
            carryOut();
        }
    }

    private void carryOut() {
        if (ended.isDone()) {
            return;
        }
        // a client that has just been answered may have sent its next request already, which would be lost with the
        // process; so the process doesn't end before all connections are closed
        boolean open = fronts.stream().anyMatch(f -> !lifecycle.listens() && f.listening() || f.connected());
        if (!open && lifecycle.stopping()) {
            open = !fronts.stream().allMatch(HttpFrontServer::seal);
        }
        Step due = lifecycle.at(Duration.between(from, clock.instant()), open, othersAway.getAsBoolean());
        boolean late =
                stopAt != null && Duration.between(stopAt, clock.instant()).compareTo(LONGEST_STOP) > 0;
        Step next = late ? Step.END : due;
        healthy = lifecycle.healthy();
        boolean leads = next.compareTo(Step.LEAD_AWAY) >= 0;
        fronts.forEach(f -> f.drain(next != Step.WORK));
        fronts.forEach(f -> f.leadAway(leads));
        listen(lifecycle.listens());
        if (taking && !lifecycle.takes(Duration.between(from, clock.instant()))) {
            taking = false;
            module.tell(new ModuleActor.TakeNoMore());
        }
        for (Step s : Step.values()) {
            if (s.compareTo(step) > 0 && s.compareTo(next) <= 0) {
                if (s == Step.ANSWER) {
                    fronts.forEach(HttpFrontServer::abandonAddress);
                    module.tell(new ModuleActor.HandOver());
                } else if (s == Step.CUT) {
                    module.tell(new ModuleActor.Cut());
                }
            }
        }
        boolean exits = step == Step.END && lifecycle.mustExit(Duration.between(from, clock.instant()));
        if (exits) {
            LOG.info("lifecycle: ends by itself before the kill; servers have not let go of all yet");
        }
        if (late || exits) {
            ended.complete(null);
        } else if (next == Step.END && step != Step.END) {
            // nothing new can arrive, so once open requests and then releases have ended, nothing is left
            module.tell(new ModuleActor.Drain(() -> releases.tell(new ReleaseActor.Drain(() -> ended.complete(null)))));
        }
        if (next != step) {
            LOG.info("lifecycle: " + step + " -> " + next
                    + (open ? ", clients are connected" : ", no client is connected"));
        }
        step = next;
        if (step != Step.END) {
            fronts.forEach(HttpFrontServer::unseal);
        }
        if (step != Step.WORK || !listening) {
            watch();
        }
    }

    private void listen(boolean now) {
        if (listening && !now) {
            fronts.forEach(HttpFrontServer::stopListening);
            listening = false;
        } else if (!listening && now) {
            listening = fronts.stream().allMatch(HttpFrontServer::listenAgain);
        }
    }

    private void watch() {
        if (!ticking) {
            ticking = true;
            tellLater(TICK, new Tick());
        }
    }
}
